package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects calls whose content crashes endpoints, and protects the endpoints from them.
 *
 * Counts calls with the same fingerprint whose endpoint closed the connection without a response. After
 * [BLOCKING_CRASHES] in a row, calls with that fingerprint are refused by every daemon that has the count from
 * heartbeats.
 */
class PoisonCallDetector(private val clock: MonotonicClock) {
    private class CrashCount(var count: Int, var at: Duration)

    private val crashes = HashMap<String, CrashCount>()

    /** Whether calls with [fingerprint] are to be refused. */
    fun isBlocked(fingerprint: String): Boolean = (crashes[fingerprint]?.count ?: 0) >= BLOCKING_CRASHES

    /** Counts a call that ended without a response. */
    fun recordCrash(fingerprint: String) {
        removeExpired()
        val crash = crashes.getOrPut(fingerprint) { CrashCount(0, clock.now()) }
        crash.count++
        crash.at = clock.now()
    }

    /** Clears the count of [fingerprint] after a response. */
    fun recordResponse(fingerprint: String) {
        if (crashes.isNotEmpty()) crashes.remove(fingerprint)
    }

    /** Merges the counts that a peer reports: the higher count applies. */
    fun mergeCounts(counts: Map<String, Int>) = counts.forEach { (fingerprint, count) ->
        val crash = crashes.getOrPut(fingerprint) { CrashCount(0, clock.now()) }
        if (count > crash.count) {
            crash.count = count
            crash.at = clock.now()
        }
    }

    /** Counts to report to the peers. */
    fun counts(): Map<String, Int> {
        removeExpired()
        return crashes.entries.take(MAX_REPORTED).associate { it.key to it.value.count }
    }

    private fun removeExpired() {
        crashes.values.removeIf { clock.now() - it.at > RETENTION }
    }

    private companion object {
        /** A single broken connection may be chance; three in a row with the same content are not. */
        const val BLOCKING_CRASHES = 3

        /** Time after which a count is dropped; callers that retry such a call do so within a minute. */
        val RETENTION = 60.seconds

        /** Maximum number of counts in one heartbeat. */
        const val MAX_REPORTED = 16
    }
}
