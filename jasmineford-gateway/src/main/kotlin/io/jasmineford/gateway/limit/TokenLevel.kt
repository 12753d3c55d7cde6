package io.jasmineford.gateway.limit

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The daemons that share the rate limits, as one of them knows them.
 *
 * @property daemons number of registered daemons, this one included.
 * @property silent number of those without a recent report.
 * @property unknown time for which the usage of the others is not known; null if that can't be told.
 */
internal data class FleetUsage(val daemons: Int, val silent: Int, val unknown: UnknownUsage?) {
    /** Fraction of the daemons that are silent. */
    val silentShare: Double get() = silent.toDouble() / daemons.coerceAtLeast(1)
}

/**
 * Time for which the usage of other daemons is not known, summed over the daemons.
 *
 * @property pending time whose usage will be known when the silent daemons are heard again.
 * @property lost time since this daemon's start whose usage will never be known here, as a process ended before it
 * reported, or no neighbour of this daemon counted it. Never decreases.
 */
data class UnknownUsage(val pending: Duration, val lost: Duration)

/**
 * Level of a token bucket that all daemons share, as one of them estimates it.
 *
 * Silent daemons are assumed to use their even share of the refill, which is withheld. When they are heard again, their
 * reports charge what they have used, and what was withheld is given back in proportion to the time whose usage has
 * become known. What was withheld for lost time is taken for used.
 *
 * @param since time from which on the bucket is refilled.
 */
internal class TokenLevel(private val clock: MonotonicClock, private val fleet: () -> FleetUsage, since: Duration) {
    private var withheld = 0.0
    private var latest = fleet()
    private var updatedAt = since

    /** Tokens in the bucket; negative while calls beyond the limit have to be made up for. */
    var level = 0.0
        private set

    /** Fraction of the daemons that are silent, as of the latest refill. */
    val silentShare: Double get() = latest.silentShare

    /** Adds the refill since the last call, at [rate] tokens a second up to [capacity]. */
    fun refill(rate: Double, capacity: Double) {
        val now = clock.now()
        val elapsed = now - updatedAt
        if (elapsed <= Duration.ZERO) return
        val before = latest
        latest = fleet()
        updatedAt = now
        val refill = rate * elapsed.toDouble(DurationUnit.SECONDS)
        // Until a daemon was found to be silent, its share of the refill was counted as if it had not been used.
        val newlySilent = (latest.silentShare - before.silentShare).coerceAtLeast(0.0)
        val unseen = rate * newlySilent * SILENCE_DETECTION_TIME.toDouble(DurationUnit.SECONDS)
        level = (level + refill * (1 - latest.silentShare)).coerceAtMost(capacity) - unseen
        withheld += refill * latest.silentShare + unseen
        giveBack(before, elapsed, room = capacity - level)
    }

    /** A full bucket holds no further tokens, so no more than [room] are given back. */
    private fun giveBack(before: FleetUsage, elapsed: Duration, room: Double) {
        withheld = withheld.coerceAtMost(room.coerceAtLeast(0.0))
        val unknownBefore = before.unknown
        val unknown = latest.unknown
        if (unknownBefore == null || unknown == null) return
        val expected = unknownBefore.pending + elapsed * before.silent
        val ended = expected - unknown.pending
        if (ended <= Duration.ZERO) return
        val lost = (unknown.lost - unknownBefore.lost).coerceAtMost(ended)
        val known = withheld * ((ended - lost) / expected)
        level += known
        withheld -= known + withheld * (lost / expected)
    }

    /** Takes [amount] tokens, whether the bucket has them or not, down to [lowest]; a negative amount returns some. */
    fun take(amount: Double, lowest: Double = -Double.MAX_VALUE) {
        level = (level - amount).coerceAtLeast(lowest)
    }

    /** Begins with [initially] tokens and what [other] had since then at one token a second. */
    fun beginLike(other: TokenLevel, rate: Double, initially: Double, capacity: Double) {
        level = (initially + other.level * rate).coerceAtMost(capacity)
        withheld = (other.withheld * rate).coerceAtMost(capacity - level)
        latest = other.latest
        updatedAt = other.updatedAt
    }

    private companion object {
        /** Time without reports after which a daemon counts as silent. */
        val SILENCE_DETECTION_TIME = 450.milliseconds
    }
}
