package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A crash as told to the other daemons.
 *
 * @property endpoint id of the endpoint.
 * @property ageMillis time since the crash.
 * @property calls fingerprints of calls that were in work there.
 */
@Serializable
data class CrashReport(
    @SerialName("e") val endpoint: String,
    @SerialName("a") val ageMillis: Long,
    @SerialName("c") val calls: List<String>,
)

/**
 * Detects calls whose content crashes endpoints, and protects the endpoints from them.
 *
 * A crash is one endpoint that closed connections without a response at one moment. It counts once for each content
 * that was in work there, however many calls with that content broke and however many daemons report them. After
 * [BLOCKING_CRASHES] without a response between them, calls with that content are refused by every daemon that knows
 * these crashes from heartbeats.
 *
 * A crash with several contents in work is blamed on those among them that were in work in an earlier one; on all of
 * them if there is none.
 */
class PoisonCallDetector(private val clock: MonotonicClock) {
    private class Crash(val endpoint: String, val at: Duration) {
        val calls = LinkedHashSet<String>()
    }

    private class CountOfPeer(val count: Int, val at: Duration)

    /** Crashes in the order of their times. */
    private val crashes = ArrayList<Crash>()

    /** Latest responses, oldest first, also to calls whose crashes may only be heard of later. */
    private val respondedAt = object : LinkedHashMap<String, Duration>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Duration>) = size > MAX_RESPONSES
    }

    /** Calls of which a peer reported a crash that is older than a response to them. */
    private val contested = HashSet<String>()
    private val countsOfPeers = HashMap<String, CountOfPeer>()

    /** Ages in milliseconds of responses that a peer does not know, by fingerprint. */
    val responses: Map<String, Long>
        get() = contested.take(MAX_REPORTED).mapNotNull { call ->
            respondedAt[call]?.let { call to (clock.now() - it).inWholeMilliseconds }
        }.toMap()

    /** Whether calls with [fingerprint] are to be refused. */
    fun isBlocked(fingerprint: String): Boolean =
        count(fingerprint) >= BLOCKING_CRASHES ||
            (countsOfPeers[fingerprint]?.count ?: 0) >= BLOCKING_CRASHES

    /** Records a call that ended without a response from the endpoint with id [endpoint]. */
    fun recordCrash(fingerprint: String, endpoint: String) {
        removeExpired()
        crashOf(endpoint, clock.now()).calls += fingerprint
    }

    /** Clears [fingerprint] of the crashes up to [at], the time of a response. */
    fun recordResponse(fingerprint: String, at: Duration = clock.now()) {
        if (at <= (respondedAt[fingerprint] ?: -Duration.INFINITE)) return
        respondedAt.remove(fingerprint)
        respondedAt[fingerprint] = at
        val cleared = crashes.filter { it.at <= at && fingerprint in it.calls }
        cleared.forEach { it.calls -= fingerprint }
        if (cleared.isNotEmpty()) contested += fingerprint
        crashes.removeIf { it.calls.isEmpty() }
        countsOfPeers.remove(fingerprint)
    }

    /**
     * Merges what a peer reports. Peers of the release before report only [counts], of which the highest one applies;
     * they are not passed on. [responses] are ages of responses in milliseconds by fingerprint.
     */
    fun merge(reports: List<CrashReport>, counts: Map<String, Int>, responses: Map<String, Long> = emptyMap()) {
        responses.forEach { (fingerprint, age) -> recordResponse(fingerprint, clock.now() - age.milliseconds) }
        if (reports.isEmpty()) {
            counts.forEach { (fingerprint, count) ->
                if (count > (countsOfPeers[fingerprint]?.count ?: 0)) {
                    countsOfPeers[fingerprint] = CountOfPeer(count, clock.now())
                }
            }
        }
        reports.forEach { report ->
            val at = clock.now() - report.ageMillis.milliseconds
            val (calls, answered) = report.calls.partition { at > (respondedAt[it] ?: -Duration.INFINITE) }
            contested += answered
            if (calls.isNotEmpty()) crashOf(report.endpoint, at).calls += calls
        }
    }

    /** Crashes to report to the peers. */
    fun reports(): List<CrashReport> {
        val reported = reportedCalls()
        return crashes.map { crash ->
            val age = clock.now() - crash.at
            CrashReport(crash.endpoint, age.inWholeMilliseconds, crash.calls.filter { it in reported })
        }.filter { it.calls.isNotEmpty() }
    }

    /** Number of crashes by fingerprint, for peers of the release before. */
    fun counts(): Map<String, Int> = reportedCalls().associateWith(::count)

    private fun reportedCalls(): Set<String> {
        removeExpired()
        if (crashes.isEmpty()) return emptySet()
        return crashes.flatMap { it.calls }.distinct().sortedByDescending(::count).take(MAX_REPORTED).toSet()
    }

    private fun count(fingerprint: String): Int {
        val own = crashes.filter { fingerprint in it.calls }
        val first = own.firstOrNull() ?: return 0
        val hasOtherSuspect = first.calls.any { call -> crashes.first { call in it.calls } !== first }
        return if (hasOtherSuspect) own.size - 1 else own.size
    }

    private fun crashOf(endpoint: String, at: Duration): Crash =
        crashes.firstOrNull { it.endpoint == endpoint && (it.at - at).absoluteValue < SAME_CRASH_TIME }
            ?: Crash(endpoint, at).also {
                crashes.add(it)
                crashes.sortBy(Crash::at)
            }

    private fun removeExpired() {
        val oldest = clock.now() - RETENTION
        countsOfPeers.values.removeIf { it.at < oldest }
        // Called for each heartbeat, so it must not look at all responses.
        val responses = respondedAt.values.iterator()
        while (responses.hasNext() && responses.next() < oldest - RETENTION) responses.remove()
        contested.removeIf { it !in respondedAt }
        if (crashes.isEmpty()) return
        val recent = crashes.filter { it.at >= oldest }.flatMap { it.calls }.toSet()
        crashes.removeIf { crash -> crash.at < oldest && crash.calls.none { it in recent } }
    }

    private companion object {
        /** A single broken connection may be chance; three in a row with the same content are not. */
        const val BLOCKING_CRASHES = 3

        /**
         * Time within which the connections of one crash break, at all daemons; an endpoint is back after some seconds.
         */
        val SAME_CRASH_TIME = 1.seconds

        /** Time after a call's latest crash at which it is forgotten; callers that retry it do so within a minute. */
        val RETENTION = 60.seconds

        /** Maximum number of responses that are remembered. */
        const val MAX_RESPONSES = 4096

        /** Maximum number of fingerprints in one heartbeat. */
        const val MAX_REPORTED = 16
    }
}
