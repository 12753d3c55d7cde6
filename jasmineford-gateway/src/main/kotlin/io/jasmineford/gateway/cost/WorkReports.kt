package io.jasmineford.gateway.cost

import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.peer.Heartbeat

/**
 * Remaining work and memory of the calls in flight in heartbeats, as sums over the daemons behind the sender.
 *
 * Both are lists in the order of [Heartbeat.inFlight], so that an endpoint's id is sent once only. Calls of daemons
 * that report no work are assumed to have typical work.
 */
internal class WorkReports(private val directory: EndpointDirectory, private val placement: WorkPlacement) {
    private val isUsed: Boolean get() = placement.isOnAnywhere || placement.isMemoryBounded

    private class Sum(var millis: Double = 0.0, var blocks: Long = 0) {
        fun add(millis: Double, blocks: Long) {
            this.millis += millis
            this.blocks += blocks
        }
    }

    /** Adds to [own], whose calls in flight include those in [forwarded], their work; nothing while it is not used. */
    fun addTo(own: Heartbeat, forwarded: List<Heartbeat>): Heartbeat {
        // Passes on what others tell although this daemon has no such calls itself.
        if (!isUsed && forwarded.none { it.workBlocks.isNotEmpty() }) return own
        val sums = own.inFlight.mapValues { (id, _) -> sumOfOwn(id) }
        forwarded.forEach { heartbeat ->
            forEachEndpoint(heartbeat) { id, millis, blocks -> sums[id]?.add(millis, blocks) }
        }
        return own.copy(
            workMillis = sums.values.map { it.millis.toInt() },
            workBlocks = sums.values.map { it.blocks.toInt() },
        )
    }

    /** Sums what [neighbours] report for each endpoint. */
    fun apply(neighbours: List<Heartbeat>) {
        if (!isUsed) return
        directory.all.forEach { it.work.setPeers(millis = 0.0, tokens = 0) }
        neighbours.forEach { heartbeat ->
            forEachEndpoint(heartbeat) { id, millis, blocks ->
                directory.byId[id]?.work?.let { work ->
                    work.setPeers(work.millisAtPeers + millis, work.tokensAtPeers + blocks * BLOCK_TOKENS)
                }
            }
        }
    }

    private fun sumOfOwn(id: String): Sum {
        val work = directory.byId[id]?.work ?: return Sum()
        return Sum(work.ownMillis(), (work.ownTokens() + BLOCK_TOKENS - 1) / BLOCK_TOKENS)
    }

    private fun forEachEndpoint(heartbeat: Heartbeat, action: (id: String, millis: Double, blocks: Long) -> Unit) {
        val count = heartbeat.inFlight.size
        // Both lists are absent, or of another length, where the sender doesn't tell the work.
        val isTold = heartbeat.workMillis.size == count && heartbeat.workBlocks.size == count
        heartbeat.inFlight.entries.forEachIndexed { index, (id, calls) ->
            val millis = if (isTold) heartbeat.workMillis[index].toDouble() else calls * typicalMillis(id)
            action(id, millis, if (isTold) heartbeat.workBlocks[index].toLong() else 0)
        }
    }

    private fun typicalMillis(id: String): Double =
        directory.byId[id]?.let { placement.unknownMillis(it.endpoint.service) } ?: 0.0

    private companion object {
        /** Tokens in a block, the unit in which memory is told. */
        const val BLOCK_TOKENS = 64L
    }
}
