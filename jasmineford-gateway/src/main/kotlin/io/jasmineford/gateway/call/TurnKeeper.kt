package io.jasmineford.gateway.call

import io.jasmineford.gateway.turn.ChainLookup
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.ProgramKey
import io.jasmineford.gateway.turn.Reservation
import io.jasmineford.gateway.turn.TokenEntry
import io.jasmineford.gateway.turn.TokenReserver
import io.jasmineford.gateway.turn.TurnRecord
import io.jasmineford.gateway.turn.chain

/** Whether a turn may run, and what precedes it. */
sealed interface TurnStart {
    /** The turn may run after [earlier] turns, oldest first. */
    class Ready(val earlier: List<TurnRecord>) : TurnStart

    /** The program's budget does not hold the turn. */
    data object BudgetSpent : TurnStart

    /** The turn it continues from does not exist. */
    data object NoSuchTurn : TurnStart

    /** Too little is known to run it. */
    data object Unknown : TurnStart
}

/**
 * Outcome of the beginning of a turn.
 *
 * @property held the granted reservation, to be settled whatever [start] is; null when there is none.
 */
class BegunTurn(val start: TurnStart, val held: TokenEntry?)

/** Begins and ends turns of programs at the history daemons, and remembers recent turns. */
class TurnKeeper(
    private val quorum: HistoryQuorum,
    private val tokens: TokenReserver,
) {
    private val recent = object : LinkedHashMap<String, TurnRecord>(RECENT_TURNS, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, TurnRecord>) = size > RECENT_TURNS
    }

    /** Reads the history that [previous] names and reserves [entry] against [budget], where the call has them. */
    fun begin(account: String, previous: String?, entry: TokenEntry?, budget: Long?, onDone: (BegunTurn) -> Unit) {
        val join = TurnJoin(entry != null, onDone)
        if (previous == null) {
            join.chain = ChainLookup.Found(emptyList())
        } else {
            chain(account, previous) { join.chain = it }
        }
        if (entry != null && budget != null) {
            tokens.reserve(entry, budget) { reservation, last ->
                join.held = last.takeIf { reservation == Reservation.Granted }
                join.reservation = reservation
            }
        }
        join.check()
    }

    /** Replaces the reservation of a turn by the [used] tokens. */
    fun settle(entry: TokenEntry, used: Int) = tokens.settle(entry, used)

    /** Stores the end of a turn; [onDone] tells whether it will outlast the tolerated failures. */
    fun finish(tokens: TokenEntry?, used: Int, turn: TurnRecord, onDone: (Boolean) -> Unit) {
        val settled = tokens?.copy(tokens = used, isSettled = true)
        quorum.finish(settled, turn) { isStored ->
            if (isStored) recent[turn.id] = turn
            onDone(isStored)
        }
    }

    private fun chain(account: String, previous: String, onDone: (ChainLookup) -> Unit) {
        val (known, missing) = recent.chain(previous, account)
        if (missing == null) {
            onDone(ChainLookup.Found(known))
        } else {
            quorum.chain(missing, account) { lookup -> onDone(extend(lookup, known)) }
        }
    }

    private fun extend(lookup: ChainLookup, known: List<TurnRecord>): ChainLookup = when {
        lookup is ChainLookup.Found -> {
            lookup.turns.forEach { recent[it.id] = it }
            ChainLookup.Found(lookup.turns + known)
        }
        // The newest turn is known, so an older one that can't be found is out of reach rather than absent.
        known.isNotEmpty() -> ChainLookup.Unknown
        else -> lookup
    }

    /** Waits for both the history and the reservation. */
    private class TurnJoin(private val needsReservation: Boolean, private val onDone: (BegunTurn) -> Unit) {
        var held: TokenEntry? = null
        var chain: ChainLookup? = null
            set(value) {
                field = value
                check()
            }
        var reservation: Reservation? = null
            set(value) {
                field = value
                check()
            }
        private var isDone = false

        fun check() {
            val lookup = chain
            val tokens = reservation
            val isWaiting = lookup == null || (needsReservation && tokens == null)
            if (isDone || isWaiting) return
            isDone = true
            val start = when {
                tokens is Reservation.BudgetSpent -> TurnStart.BudgetSpent
                tokens is Reservation.Unknown || lookup is ChainLookup.Unknown -> TurnStart.Unknown
                lookup is ChainLookup.NoSuchTurn -> TurnStart.NoSuchTurn
                else -> TurnStart.Ready((lookup as ChainLookup.Found).turns)
            }
            onDone(BegunTurn(start, held))
        }
    }

    private companion object {
        /** Some MB of turns: those of the programs that this daemon serves now. */
        const val RECENT_TURNS = 1500
        const val LOAD_FACTOR = 0.75f
    }
}

/** Identity of a turn's tokens; null when the call states no budget. */
internal fun tokenEntryOf(account: String, call: CallAttributes, nowMillis: Long): TokenEntry? =
    if (call.tokenBudget == null || call.program == null) {
        null
    } else {
        TokenEntry(ProgramKey(account, call.program), call.attemptId, call.maxTokens, isSettled = false, nowMillis)
    }
