package io.jasmineford.gateway.turn

import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.store.Scheduler
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reserves the tokens of turns against their programs' budgets and settles them.
 *
 * A program may start several turns at once while its budget covers fewer of them. Each reservation then counts the
 * concurrent ones, so all could be refused although one fits. A contested reservation is therefore released and retried
 * after an exponential back-off with jitter, until one turn has been granted and the others are refused because of it.
 */
class TokenReserver(
    private val quorum: HistoryQuorum,
    private val scheduler: Scheduler,
    private val log: EventLog,
    private val random: Random = Random.Default,
) {
    /** Reserves [entry] against [budget]; [onDone] gets the outcome and the entry to settle if it is granted. */
    fun reserve(entry: TokenEntry, budget: Long, onDone: (Reservation, TokenEntry) -> Unit) =
        tryReserve(entry, budget, retry = 0, onDone)

    private fun tryReserve(entry: TokenEntry, budget: Long, retry: Int, onDone: (Reservation, TokenEntry) -> Unit) {
        // Releasing a reservation settles its attempt for good, so each retry needs an attempt id of its own.
        val current = if (retry == 0) entry else entry.copy(attempt = "${entry.attempt}/$retry")
        quorum.reserve(current, budget) { reservation ->
            val isContested = (reservation as? Reservation.BudgetSpent)?.isContested ?: false
            if (reservation != Reservation.Granted) settle(current, used = 0)
            if (isContested && retry < MAX_RETRIES) {
                scheduler.after(backoffBefore(retry)) { tryReserve(entry, budget, retry + 1, onDone) }
            } else {
                if (reservation != Reservation.Granted) {
                    log.event(
                        "tokens-refused",
                        "id" to entry.attempt,
                        "outcome" to reservation,
                        "budget" to budget,
                        "trials" to retry + 1,
                    )
                }
                onDone(reservation, current)
            }
        }
    }

    /** Replaces the reservation [entry] by the [used] tokens. */
    fun settle(entry: TokenEntry, used: Int) =
        quorum.finish(entry.copy(tokens = used, isSettled = true), turn = null) { isStored ->
            if (!isStored) log.event("tokens-not-settled", "attempt" to entry.attempt, "used" to used)
        }

    private fun backoffBefore(retry: Int): Duration = MAX_FIRST_BACKOFF * (1 shl retry) * random.nextDouble()

    private companion object {
        /** Retries of a contested reservation; with doubling back-off they suffice for a dozen concurrent turns. */
        const val MAX_RETRIES = 3

        /** Upper bound of the first back-off: some round trips to the history daemons, including their syncs. */
        val MAX_FIRST_BACKOFF = 40.milliseconds
    }
}
