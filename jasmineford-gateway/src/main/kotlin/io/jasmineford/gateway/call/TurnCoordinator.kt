package io.jasmineford.gateway.call

import io.jasmineford.gateway.turn.ChainLookup
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.ProgramKey
import io.jasmineford.gateway.turn.Reservation
import io.jasmineford.gateway.turn.TokenEntry
import io.jasmineford.gateway.turn.TokenReserver
import io.jasmineford.gateway.turn.TurnRecord

/** Whether a turn may run, and the turns that it continues. */
sealed interface TurnStart {
    /** The turn may run; it continues the turns [earlier], oldest first. */
    class Ready(val earlier: List<TurnRecord>) : TurnStart

    /** The program's token budget does not cover the turn. */
    data object BudgetSpent : TurnStart

    /** The turn that it continues does not exist. */
    data object NoSuchTurn : TurnStart

    /** Too few history daemons replied to decide. */
    data object Unknown : TurnStart
}

/**
 * Result of starting a turn.
 *
 * @property reserved the granted reservation, which must be settled whatever [start] is; null when there is none.
 */
class TurnStartResult(val start: TurnStart, val reserved: TokenEntry?)

/** Starts and finishes the turns of programs at the history daemons, and caches recent turns. */
class TurnCoordinator(
    private val quorum: HistoryQuorum,
    private val tokens: TokenReserver,
) {
    private val recent = RecentTurns()

    /** Estimated memory of the cached turns. */
    val cachedBytes: Long get() = recent.heldBytes

    /** Concurrently reads the chain of turns up to [previous] and reserves [entry] against [budget], each if given. */
    fun begin(
        account: String,
        previous: String?,
        entry: TokenEntry?,
        budget: Long?,
        onDone: (TurnStartResult) -> Unit,
    ) {
        val pending = PendingStart(entry != null, onDone)
        if (previous == null) {
            pending.chain = ChainLookup.Found(emptyList())
        } else {
            chain(account, previous) { pending.chain = it }
        }
        if (entry != null && budget != null) {
            tokens.reserve(entry, budget) { reservation, last ->
                pending.reserved = last.takeIf { reservation == Reservation.Granted }
                pending.reservation = reservation
            }
        }
        pending.check()
    }

    /** Replaces the reservation [entry] by the [used] tokens. */
    fun settle(entry: TokenEntry, used: Int) = tokens.settle(entry, used)

    /** Stores [turn] and settles its [tokens] to [used]; [onDone] gets whether a majority has both on disk. */
    fun finish(tokens: TokenEntry?, used: Int, turn: TurnRecord, onDone: (Boolean) -> Unit) {
        val settled = tokens?.copy(tokens = used, isSettled = true)
        quorum.finish(settled, turn) { isStored ->
            if (isStored) recent.add(turn)
            onDone(isStored)
        }
    }

    private fun chain(account: String, previous: String, onDone: (ChainLookup) -> Unit) {
        val (known, missing) = recent.chain(previous, account)
        if (missing == null) {
            onDone(ChainLookup.Found(known))
        } else {
            quorum.chain(missing, account) { lookup -> onDone(prepend(lookup, known)) }
        }
    }

    private fun prepend(lookup: ChainLookup, known: List<TurnRecord>): ChainLookup = when {
        lookup is ChainLookup.Found -> {
            lookup.turns.forEach(recent::add)
            ChainLookup.Found(lookup.turns + known)
        }
        // The newer turns exist, so the older one exists too: it is unreachable rather than absent.
        known.isNotEmpty() -> ChainLookup.Unknown
        else -> lookup
    }

    /** Waits for both the chain and the reservation. */
    private class PendingStart(private val needsReservation: Boolean, private val onDone: (TurnStartResult) -> Unit) {
        var reserved: TokenEntry? = null
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
            onDone(TurnStartResult(start, reserved))
        }
    }
}

/** The token reservation that [call] needs; null when it has no budget or no program. */
internal fun tokenEntryOf(account: String, call: CallAttributes, nowMillis: Long): TokenEntry? =
    if (call.tokenBudget == null || call.program == null) {
        null
    } else {
        TokenEntry(ProgramKey(account, call.program), call.attemptId, call.maxTokens, isSettled = false, nowMillis)
    }
