package io.jasmineford.gateway.turn

import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.store.Scheduler
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reserves tokens of a turn and settles them.
 *
 * Load pattern: a program starts several turns at once while its budget holds fewer of them. Each counts the others'
 * reservations against itself, so all could be refused although one fits. A contested reservation is given back and
 * tried again after a random pause, until one of the turns has been granted and the others are refused for it.
 */
class TokenReserver(
    private val quorum: HistoryQuorum,
    private val scheduler: Scheduler,
    private val log: EventLog,
    private val random: Random = Random.Default,
) {
    /** Reserves [entry] against [budget]; [onDone] gets the entry to settle if it is granted. */
    fun reserve(entry: TokenEntry, budget: Long, onDone: (Reservation, TokenEntry) -> Unit) =
        attempt(entry, budget, trial = 0, onDone)

    private fun attempt(entry: TokenEntry, budget: Long, trial: Int, onDone: (Reservation, TokenEntry) -> Unit) {
        // A settled attempt is final, so each trial has an identity of its own.
        val current = if (trial == 0) entry else entry.copy(attempt = "${entry.attempt}/$trial")
        quorum.reserve(current, budget) { reservation ->
            val isContested = (reservation as? Reservation.BudgetSpent)?.isContested ?: false
            if (reservation != Reservation.Granted) settle(current, used = 0)
            if (isContested && trial < MAX_TRIALS) {
                scheduler.after(pauseAfter(trial)) { attempt(entry, budget, trial + 1, onDone) }
            } else {
                if (reservation != Reservation.Granted) {
                    log.event(
                        "tokens-refused",
                        "id" to entry.attempt,
                        "outcome" to reservation,
                        "budget" to budget,
                        "trials" to trial + 1,
                    )
                }
                onDone(reservation, current)
            }
        }
    }

    /** Replaces the reservation of a turn by the [used] tokens. */
    fun settle(entry: TokenEntry, used: Int) =
        quorum.finish(entry.copy(tokens = used, isSettled = true), turn = null) { isStored ->
            if (!isStored) log.event("tokens-not-settled", "attempt" to entry.attempt, "used" to used)
        }

    private fun pauseAfter(trial: Int): Duration = LONGEST_FIRST_PAUSE * (1 shl trial) * random.nextDouble()

    private companion object {
        /** Contested trials after the first: with doubled pauses a dozen turns have sorted themselves out by then. */
        const val MAX_TRIALS = 3

        /** Some round trips to the history daemons with their syncs. */
        val LONGEST_FIRST_PAUSE = 40.milliseconds
    }
}
