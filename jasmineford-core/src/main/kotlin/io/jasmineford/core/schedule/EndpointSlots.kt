package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One endpoint as the scheduler sees it. */
internal class EndpointSlots(var endpoint: Endpoint) {
    val belief = CacheBelief()
    var inFlight = 0
    var window = 0

    val memory = CacheMemory()

    /** Mean time that a call occupies a slot. */
    var meanService: Duration = INITIAL_SERVICE
    var isUsable = true

    val isFree: Boolean get() = inFlight < window
    val load: Double get() = if (window == 0) Double.MAX_VALUE else inFlight.toDouble() / window

    fun served(time: Duration) {
        meanService += (time - meanService) * LEARNING_RATE
    }

    private companion object {
        val INITIAL_SERVICE = 1.seconds
        const val LEARNING_RATE = 0.05
    }
}

/** Endpoints of all deployments, ordered by load within each. */
internal class EndpointPools(private val windowOf: (Endpoint) -> Int) {
    private val byAddress = HashMap<String, EndpointSlots>()
    private val pools = HashMap<ScopedName, TreeSet<EndpointSlots>>()
    private val poolsOf = HashMap<String, MutableList<TreeSet<EndpointSlots>>>()

    /** Endpoints of [deployment], the least loaded first. */
    fun of(deployment: ScopedName): Set<EndpointSlots> = pools[deployment].orEmpty()

    /** Slots of the endpoint at [address], or null. */
    operator fun get(address: String): EndpointSlots? = byAddress[address]

    /** All endpoints that may get work. */
    fun usable(): List<EndpointSlots> = byAddress.values.filter { it.isUsable }

    fun replace(usable: Map<ScopedName, List<Endpoint>>) {
        pools.clear()
        poolsOf.clear()
        byAddress.values.forEach { it.isUsable = false }
        for ((deployment, endpoints) in usable) {
            val pool = pools.getOrPut(deployment) { TreeSet(ORDER) }
            for (endpoint in endpoints) {
                val slots = byAddress.getOrPut(endpoint.address) { EndpointSlots(endpoint) }
                slots.endpoint = endpoint
                slots.isUsable = true
                poolsOf.getOrPut(endpoint.address) { mutableListOf() } += pool
            }
        }
        byAddress.values.removeIf { !it.isUsable && it.inFlight == 0 }
        byAddress.values.forEach { if (it.isUsable) it.window = windowOf(it.endpoint) }
        for ((address, sets) in poolsOf) sets.forEach { it += byAddress.getValue(address) }
    }

    /** Changes the load or window of [slots] and keeps the order. */
    fun update(slots: EndpointSlots, change: EndpointSlots.() -> Unit) {
        val sets = poolsOf[slots.endpoint.address].orEmpty()
        sets.forEach { it -= slots }
        slots.change()
        if (slots.isUsable) sets.forEach { it += slots }
    }

    /** Reads all windows again. */
    fun refreshWindows() {
        for (slots in usable()) {
            val window = windowOf(slots.endpoint)
            if (window != slots.window) update(slots) { this.window = window }
        }
    }

    private companion object {
        val ORDER = compareBy<EndpointSlots> { it.load }.thenBy { it.endpoint.address }
    }
}
