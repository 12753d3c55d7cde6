package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Scheduling state of one endpoint. */
internal class EndpointSlots(var endpoint: Endpoint) {
    val cache = CacheEstimate()
    var inFlight = 0
    var window = 0

    val memory = CacheMemory()

    /** Moving average of the time that a call occupies a slot. */
    var meanServiceTime: Duration = INITIAL_SERVICE_TIME
    var isUsable = true

    val isFree: Boolean get() = inFlight < window
    val load: Double get() = if (window == 0) Double.MAX_VALUE else inFlight.toDouble() / window

    fun recordServiceTime(time: Duration) {
        meanServiceTime += (time - meanServiceTime) * SMOOTHING_FACTOR
    }

    private companion object {
        val INITIAL_SERVICE_TIME = 1.seconds
        const val SMOOTHING_FACTOR = 0.05
    }
}

/** Endpoints of all deployments, ordered by load within each deployment. */
internal class EndpointPools(private val windowOf: (Endpoint) -> Int) {
    private val byAddress = HashMap<String, EndpointSlots>()
    private val pools = HashMap<ScopedName, TreeSet<EndpointSlots>>()
    private val poolsOf = HashMap<String, MutableList<TreeSet<EndpointSlots>>>()

    /** Endpoints of [deployment], least loaded first. */
    fun of(deployment: ScopedName): Set<EndpointSlots> = pools[deployment].orEmpty()

    operator fun get(address: String): EndpointSlots? = byAddress[address]

    /** All endpoints that may receive new calls. */
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

    /** Applies [change] to [slots] and updates its position in the load order. */
    fun update(slots: EndpointSlots, change: EndpointSlots.() -> Unit) {
        val sets = poolsOf[slots.endpoint.address].orEmpty()
        sets.forEach { it -= slots }
        slots.change()
        if (slots.isUsable) sets.forEach { it += slots }
    }

    /** Re-reads the windows of all usable endpoints. */
    fun refreshWindows() = usable().forEach { refreshWindow(it) }

    /** Re-reads the window of [slots]; zero if the endpoint is not usable. */
    fun refreshWindow(slots: EndpointSlots) {
        val window = if (slots.isUsable) windowOf(slots.endpoint) else 0
        if (window != slots.window) update(slots) { this.window = window }
    }

    private companion object {
        val ORDER = compareBy<EndpointSlots> { it.load }.thenBy { it.endpoint.address }
    }
}
