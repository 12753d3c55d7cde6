package io.jasmineford.gateway.call

import kotlin.time.Duration

/**
 * Attributes that determine a call's position in a [WaitQueue].
 *
 * @property priority of the account or route; 0 is the highest.
 * @property latestStart time after which the call's program is late.
 * @property expiresAt time after which no one waits for the response.
 * @property account name of the client account; empty if there is none.
 * @property isStarting whether the call begins a program.
 */
data class SchedulingAttributes(
    val priority: Int,
    val latestStart: Duration,
    val expiresAt: Duration,
    val arrivedAt: Duration,
    val account: String = "",
    val isStarting: Boolean = false,
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

    /**
     * The waiting calls in their order of service at [now] while the daemon itself is overloaded: programs under way
     * before those that start, each in turns by account, the most urgent calls of an account first. Calls that have
     * waited for long get no precedence, as their callers may be gone.
     */
    fun inPressureOrder(now: Duration): List<T> {
        val turns = HashMap<Pair<String, Boolean>, Int>()
        val urgent = items.sortedBy { deadlineKey(attributesOf(it), now) }
        val ranked = urgent.map { item ->
            val attributes = attributesOf(item)
            val turn = turns.merge(attributes.account to attributes.isStarting, 1, Int::plus) ?: 1
            Triple(attributes.isStarting, turn, item)
        }
        return ranked.sortedWith(compareBy({ it.first }, { it.second })).map { it.third }
    }

    /** Removes and returns the calls that expire within [minServiceTime], the minimum time a call takes. */
    fun removeExpired(now: Duration, minServiceTime: Duration): List<T> {
        if (items.isEmpty()) return emptyList()
        val expired = items.filter { attributesOf(it).expiresAt - now < minServiceTime }
        items.removeAll(expired.toSet())
        return expired
    }

    private fun orderKey(attributes: SchedulingAttributes, now: Duration): Duration {
        val isStarving = now - attributes.arrivedAt > MAX_FAIR_WAIT
        return if (isStarving) attributes.arrivedAt - STARVING_OFFSET else deadlineKey(attributes, now)
    }

    private fun deadlineKey(attributes: SchedulingAttributes, now: Duration): Duration {
        val isLate = attributes.latestStart < now
        val base = attributes.latestStart + PRIORITY_LEVEL_TIME * attributes.priority
        return if (isLate) base + LATE_OFFSET else base
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
