package io.jasmineford.bench.endpoint

import io.jasmineford.core.program.ProgramId
import java.util.TreeSet

/**
 * Recomputed prompt tokens of an optimal offline eviction (Belady): the calls of the run are replayed against one cache
 * with the memory of the whole fleet, which evicts the program whose next call is latest, and ended programs at once.
 */
fun SimulationResult.offlineWaste(): Long {
    val limit = workload.profile.cacheTokens * workload.endpoints
    val ordered = calls.sortedBy { it.submittedAt }
    val uses = ordered.indices.groupBy { ordered[it].program }.mapValues { ArrayDeque(it.value) }
    val replay = OfflineCache(limit - workload.endpoints * ordered.first().prompt.sharedTokens)
    return ordered.sumOf { call ->
        val own = uses.getValue(call.program)
        own.removeFirst()
        replay.handle(call, own.firstOrNull() ?: Int.MAX_VALUE)
    }
}

private class OfflineCache(private val limit: Long) {
    private val entries = HashMap<ProgramId, Entry>()
    private val byNextUse = TreeSet(compareByDescending<Entry> { it.nextUse }.thenBy { "${it.program}" })
    private var used = 0L

    /** Handles [call] and returns its prompt tokens that had been computed before and are not cached any more. */
    fun handle(call: CallResult, nextUse: Int): Long {
        val before = entries.remove(call.program)?.also { remove(it) }
        val missing = call.prompt.ownTokens - call.turn.newTokens - (before?.tokens ?: 0)
        if (nextUse < Int.MAX_VALUE) {
            val entry = Entry(call.program, call.prompt.ownTokens + call.turn.outputTokens, nextUse)
            entries[call.program] = entry
            byNextUse += entry
            used += entry.tokens
        }
        evictExcess()
        return missing.toLong()
    }

    private fun evictExcess() {
        while (used > limit) {
            val entry = byNextUse.first()
            val cut = minOf(entry.tokens.toLong(), used - limit).toInt()
            entry.tokens -= cut
            used -= cut
            if (entry.tokens == 0) {
                entries.remove(entry.program)
                byNextUse -= entry
            }
        }
    }

    private fun remove(entry: Entry) {
        byNextUse -= entry
        used -= entry.tokens
    }

    private class Entry(val program: ProgramId, var tokens: Int, val nextUse: Int)
}
