package io.jasmineford.gateway.call

import kotlin.time.Duration

/**
 * Attributes that determine a call's position in a [WaitQueue].
 *
 * @property priority of the account or route; 0 is the highest.
 * @property latestStart time after which the call's program is late.
 * @property expiresAt time after which no one waits for the response.
 */
data class SchedulingAttributes(
    val priority: Int,
    val latestStart: Duration,
    val expiresAt: Duration,
    val arrivedAt: Duration,
)

/**
 * Calls that wait for an endpoint of one service, served earliest deadline first.
 *
 * The order is made for overloads of some seconds. A priority level counts as a fixed amount of time. Calls of programs
 * that are already late are served after those that can still be on time, so that an overload delays some programs
 * rather than all of them. A call that has waited for long is served first whatever its priority, which prevents
 * starvation.
 */
class WaitQueue<T>(private val attributesOf: (T) -> SchedulingAttributes) {
    private val items = ArrayList<T>()

    /** Number of waiting calls. */
    val size: Int get() = items.size

    /** Adds [item]. */
    fun add(item: T) {
        items.add(item)
    }

    /** Removes [item]; false when it is not queued. */
    fun remove(item: T): Boolean = items.remove(item)

    /** The waiting calls in their order of service at [now]. */
    fun inOrder(now: Duration): List<T> = items.sortedBy { orderKey(attributesOf(it), now) }

    /** Removes and returns the calls that expire within [minServiceTime], the minimum time a call takes. */
    fun removeExpired(now: Duration, minServiceTime: Duration): List<T> {
        val expired = items.filter { attributesOf(it).expiresAt - now < minServiceTime }
        items.removeAll(expired.toSet())
        return expired
    }

    private fun orderKey(attributes: SchedulingAttributes, now: Duration): Duration {
        val isLate = attributes.latestStart < now
        val isStarving = now - attributes.arrivedAt > MAX_FAIR_WAIT
        val base = attributes.latestStart + PRIORITY_LEVEL_TIME * attributes.priority
        return when {
            isStarving -> attributes.arrivedAt - STARVING_OFFSET
            isLate -> base + LATE_OFFSET
            else -> base
        }
    }

    private companion object {
        /** Time that one priority level counts as. */
        val PRIORITY_LEVEL_TIME = Duration.parse("500ms")

        /** Calls that have waited for longer are served first, oldest first. */
        val MAX_FAIR_WAIT = Duration.parse("1500ms")
        val STARVING_OFFSET = Duration.parse("1h")

        /** Offset that puts calls of late programs behind all others. */
        val LATE_OFFSET = Duration.parse("10m")
    }
}
