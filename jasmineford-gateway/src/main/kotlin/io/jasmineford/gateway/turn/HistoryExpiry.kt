package io.jasmineford.gateway.turn

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * Entries that a history daemon holds and whose age exceeds the retention.
 *
 * @property turns ids of turns.
 * @property programs programs, for all their token entries.
 */
@Serializable
data class ExpiredEntries(
    val turns: List<String> = emptyList(),
    val programs: List<ProgramKey> = emptyList(),
) {
    /** Whether there are none. */
    val isEmpty: Boolean get() = turns.isEmpty() && programs.isEmpty()

    /** These entries without [others]. */
    operator fun minus(others: ExpiredEntries) =
        ExpiredEntries(turns - others.turns.toSet(), programs - others.programs.toSet())
}

/**
 * Decides which entries of [state] are still needed.
 *
 * A turn is needed until its age exceeds the retention, and as long as a turn that continues it is; the token entries
 * of a program are needed until the age of the newest one exceeds the retention. An age counts from this daemon's
 * latest receipt of the entry in this process, so that neither a restart nor a copy nor a step of the time of day
 * shortens it.
 *
 * A daemon may have missed the entries that make others necessary. It therefore asks the other voters with [needed]
 * before it drops entries, and each acknowledged entry is at one of any majority of complete voters.
 */
internal class HistoryExpiry(private val state: HistoryState) {
    private val turnsToAsk = HashMap<String, Duration>()
    private val programsToAsk = HashMap<ProgramKey, Duration>()

    /** At most [count] turns and as many programs whose age exceeds [age], and that no other daemon has just needed. */
    fun expired(age: Duration, count: Int): ExpiredEntries {
        val now = state.now()
        turnsToAsk.values.removeIf { it <= now }
        programsToAsk.values.removeIf { it <= now }
        val needed = neededTurns { !isExpired(it.touchedAt, age) }
        // A chain is dropped from its newest turn on, which is the one received last.
        val turns = state.turns.values.filter { it.id !in needed && it.id !in turnsToAsk }
            .sortedByDescending { it.position }.take(count).map { it.id }
        val programs = state.programs.entries.asSequence()
            .filter { (key, program) -> isExpired(program.touchedAt, age) && key !in programsToAsk }
            .take(count).map { it.key }.toList()
        return ExpiredEntries(turns, programs)
    }

    /** Those of [asked] that are needed by what this daemon holds, if the others among them are dropped together. */
    fun needed(asked: ExpiredEntries, age: Duration): ExpiredEntries {
        val ids = asked.turns.toHashSet()
        val turns = neededTurns { it.id !in ids || !isExpired(it.touchedAt, age) }
        return ExpiredEntries(
            turns = asked.turns.filter { it in turns },
            programs = asked.programs.filter { key ->
                state.programs[key]?.let { !isExpired(it.touchedAt, age) } ?: false
            },
        )
    }

    /** Drops those of [asked] that neither this daemon nor another one needs, which told [neededElsewhere]. */
    fun drop(asked: ExpiredEntries, neededElsewhere: ExpiredEntries, age: Duration): ExpiredEntries {
        val unneeded = asked - neededElsewhere
        val dropped = unneeded - needed(unneeded, age)
        state.remove(dropped.turns, dropped.programs)
        postpone(neededElsewhere)
        return dropped
    }

    private fun postpone(needed: ExpiredEntries) {
        val until = state.now() + ASK_AGAIN_AFTER
        needed.turns.forEach { turnsToAsk[it] = until }
        needed.programs.forEach { programsToAsk[it] = until }
    }

    /** Ids of the turns that [isNeeded] and of all those that they continue, whether held or not. */
    private fun neededTurns(isNeeded: (HeldTurn) -> Boolean): Set<String> {
        val needed = HashSet<String>()
        state.turns.values.filter(isNeeded).forEach { turn ->
            var next: String? = turn.id
            while (next != null && needed.add(next)) next = state.turns[next]?.previous
        }
        return needed
    }

    private fun isExpired(touchedAt: Duration, age: Duration) = state.now() - touchedAt > age

    private companion object {
        /** Time in which daemons do not ask again for entries that another one needs. */
        val ASK_AGAIN_AFTER = HistoryRetention.CHECK_PERIOD * 2
    }
}

/**
 * Answers of the other voters to the question which entries they still need.
 *
 * @param epoch epoch of the group in which this daemon is complete.
 * @param majority voters in a majority, this daemon included.
 */
internal class ExpiryRound(private val epoch: Long, private val majority: Int) {
    private var answered = 1

    /** Entries that another daemon needs. */
    var needed = ExpiredEntries()
        private set

    /** Whether a majority of complete voters has answered, so that no acknowledged entry is unknown to all of them. */
    val hasMajority: Boolean get() = answered >= majority

    /** Takes note of [reply], null if there is none. */
    fun accept(reply: HistoryReply?) {
        val copied = reply as? HistoryReply.Copied
        val others = copied?.needed ?: return
        needed = ExpiredEntries(needed.turns + others.turns, needed.programs + others.programs)
        val status = copied.status
        if (status != null && status.epoch == epoch && status.isComplete) answered++
    }
}
