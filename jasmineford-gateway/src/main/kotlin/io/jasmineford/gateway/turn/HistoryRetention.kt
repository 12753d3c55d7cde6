package io.jasmineford.gateway.turn

import io.jasmineford.gateway.config.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long entries are kept: the longest retention of the routes, and a margin for calls that continue a turn, or
 * repeat one, at the end of the retention.
 *
 * A longer retention applies at once. A shorter one applies after the longer one has passed once more, since entries
 * that are held were stored under it.
 */
internal class HistoryRetention(private val now: () -> Duration) {
    private var shorter: Duration? = null
    private var shorterSince = Duration.ZERO

    /** Age from which entries are dropped; null before a configuration is known: nothing is dropped then. */
    var age: Duration? = null
        private set

    /** Takes note of the age that was in force before a restart; returns this. */
    fun restore(ageMillis: Long) {
        age = ageMillis.milliseconds
    }

    /** Takes note of the age [next] that a configuration demands; returns whether [age] has changed. */
    fun update(next: Duration): Boolean {
        val current = age
        val isChanged = current == null || next > current || hasPassed(next, current)
        if (isChanged) {
            age = next
            shorter = null
        }
        return isChanged && current != next
    }

    private fun hasPassed(next: Duration, current: Duration): Boolean {
        if (next == current) shorter = null
        if (next < current && shorter != next) {
            shorter = next
            shorterSince = now()
        }
        return next < current && now() - shorterSince > current
    }

    companion object {
        /** Period in which expired entries are looked for. */
        val CHECK_PERIOD = 2.seconds

        /** Time for a call's way to its daemon, its retries and the storage of its turn, besides its timeout. */
        private val MARGIN = 10.seconds

        /** Retention of token entries where no route names one. */
        private val DEFAULT_RETENTION = 60.seconds

        /** Age that [routes] demand. */
        fun ageFor(routes: List<Route>): Duration {
            val longest = routes.maxOfOrNull { it.retention } ?: Duration.ZERO
            val retention = if (longest > Duration.ZERO) longest else DEFAULT_RETENTION
            val timeout = routes.maxOfOrNull { it.timeout } ?: Duration.ZERO
            return retention + timeout + MARGIN
        }
    }
}
