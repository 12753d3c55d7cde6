package io.jasmineford.gateway.turn

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import kotlin.time.Duration

/**
 * Keeps the entries of [state] for as long as the configuration demands, and drops them after.
 *
 * @param onChange called with an age that has come in force, which is to be on disk.
 */
class HistoryKeeper internal constructor(
    private val state: HistoryState,
    clock: MonotonicClock,
    private val events: EventLog,
    private val onChange: (Duration) -> Unit,
) {
    private val retention = HistoryRetention(clock::now)
    private val expiry = HistoryExpiry(state)

    /** Age from which entries are dropped unless they are needed; null before a configuration is known. */
    val keptFor: Duration? get() = retention.age

    /** Takes note of the age in force before a restart. */
    internal fun restore(ageMillis: Long) = retention.restore(ageMillis)

    /** Puts the age [next] in force, from which entries may be dropped; see [HistoryRetention]. */
    fun keepFor(next: Duration) {
        if (!retention.update(next)) return
        events.event("history-kept", "seconds" to next.inWholeSeconds)
        onChange(next)
    }

    /** Entries whose age exceeds [keptFor]; some of many. */
    fun expired(): ExpiredEntries = keptFor?.let { expiry.expired(it, MAX_EXPIRED) } ?: ExpiredEntries()

    /** Those of [asked] that are needed here; null if that is not known. */
    internal fun needed(asked: ExpiredEntries): ExpiredEntries? = keptFor?.let { expiry.needed(asked, it) }

    /** Drops those of [expired] that are not needed here either; other voters need [neededElsewhere]. */
    fun drop(expired: ExpiredEntries, neededElsewhere: ExpiredEntries) {
        val dropped = expiry.drop(expired, neededElsewhere, keptFor ?: return)
        if (dropped.isEmpty) return
        events.event(
            "history-dropped",
            "turns" to dropped.turns.size,
            "programs" to dropped.programs.size,
            "entries" to state.size,
        )
    }

    private companion object {
        /** Expired turns, and programs, that are looked at together. */
        const val MAX_EXPIRED = 4000
    }
}
