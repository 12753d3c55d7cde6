package io.jasmineford.bench.program

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.StoreError
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Network between VMs and the object store with delays, lost requests, lost replies and partitions.
 *
 * @param lossRate share of calls whose request or reply is lost.
 */
internal class FaultyStore(
    private val loop: EventLoop,
    private val random: Random,
    private val lossRate: Double,
) {
    /** The store behind the network. */
    val fake = FakeObjectStore()

    /** Maximum additional one-way delay; above [CALL_TIMEOUT], requests may arrive after their caller has timed out. */
    var slowness = Duration.ZERO

    /** Names of VMs that are partitioned from the store. */
    val partitioned = HashSet<String>()

    /** Runs [call] for [vm] and passes the reply, or an error after [CALL_TIMEOUT], to [onReply]. */
    fun <T> send(vm: String, call: FakeObjectStore.() -> Result<T, StoreError>, onReply: (Result<T, StoreError>) -> Unit) {
        var isAnswered = false
        val answer = { reply: Result<T, StoreError> ->
            if (!isAnswered) {
                isAnswered = true
                onReply(reply)
            }
        }
        loop.after(CALL_TIMEOUT) { answer(Err(StoreError.Unavailable("timeout"))) }
        if (vm in partitioned || random.nextDouble() < lossRate) return
        loop.after(oneWay()) {
            val reply = fake.call()
            val isLost = vm in partitioned || random.nextDouble() < lossRate
            if (!isLost) loop.after(oneWay()) { answer(reply) }
        }
    }

    private fun oneWay(): Duration = slowness * random.nextDouble() + random.nextInt(1, MAX_ONE_WAY_MS).milliseconds

    companion object {
        /** Time after which a VM stops waiting for a reply. */
        val CALL_TIMEOUT = 400.milliseconds
        private const val MAX_ONE_WAY_MS = 8
    }
}
