package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of a token reservation; log lines contain the printed form. */
sealed interface Reservation {
    /** The turn may run. */
    data object Granted : Reservation

    /**
     * The budget does not cover the turn.
     *
     * @property total tokens used and reserved, including this turn.
     * @property isContested whether the budget would cover the turn but for reservations of turns that have not ended.
     */
    data class BudgetSpent(val total: Long, val isContested: Boolean) : Reservation

    /** No majority of history daemons replied. */
    data object Unknown : Reservation
}

/** Outcome of reading a chain of turns. */
sealed interface ChainLookup {
    /** The turns, oldest first. */
    class Found(val turns: List<TurnRecord>) : ChainLookup

    /** The turn does not exist: a majority of complete history daemons lacks it. */
    data object NoSuchTurn : ChainLookup

    /** Too few history daemons replied to find the turn or to rule it out. */
    data object Unknown : ChainLookup
}

/** Sends one request to one history daemon. */
fun interface HistoryChannel {
    /** Sends [request] to [member] for the group of [stamp]; [onReply] gets null when no reply arrives in time. */
    fun send(member: Member, stamp: GroupStamp, request: HistoryRequest, onReply: (HistoryReply?) -> Unit)
}

/**
 * The replica group as a client of it sees it.
 *
 * @property majority number of voters in a majority; voters without a registration count too.
 * @property members registered voters, nearest first.
 * @property unresponsive names of voters without a recent heartbeat.
 * @property joinedAt see [HistoryGroup.joinedAt].
 */
data class GroupView(
    val epoch: Long,
    val majority: Int,
    val members: List<Member>,
    val unresponsive: Set<String> = emptySet(),
    val joinedAt: Map<String, Long> = emptyMap(),
) {
    /** The group as it concerns the voter [name]. */
    fun stampFor(name: String) = GroupStamp(epoch, joinedAt[name] ?: 0)
}

/**
 * Quorum reads and writes of history.
 *
 * Any two majorities share a daemon, so the entries of a majority, taken together, contain every reservation granted
 * before. Single daemons may have missed some: when their digests differ, their entries are merged. Among concurrent
 * reservations at the same daemons, the last one sees all others and counts them.
 *
 * @param view the group in force; null before it is known.
 */
class HistoryQuorum(
    private val view: () -> GroupView?,
    private val channel: HistoryChannel,
    private val wallMillis: () -> Long,
) {
    /** Whether a group is known. */
    val hasGroup: Boolean get() = view() != null

    /** Reserves [entry] against [budget]. */
    fun reserve(entry: TokenEntry, budget: Long, onDone: (Reservation) -> Unit) {
        val replies = ArrayList<HistoryReply.Reserved>()
        sendToAll(
            request = HistoryRequest.Reserve(entry),
            awaitsAll = true,
            accept = { reply -> (reply as? HistoryReply.Reserved)?.let(replies::add) ?: false },
        ) { hasMajority ->
            val isAgreed = replies.distinct().size == 1
            when {
                !hasMajority -> onDone(Reservation.Unknown)
                // The merged total can't exceed the sum of the daemons' totals.
                replies.sumOf { it.total } <= budget -> onDone(Reservation.Granted)
                isAgreed && replies.first().total <= budget -> onDone(Reservation.Granted)
                else -> decideByEntries(entry, budget, onDone)
            }
        }
    }

    /** Decides by the merged entries of a majority, since each daemon may have missed some. */
    private fun decideByEntries(entry: TokenEntry, budget: Long, onDone: (Reservation) -> Unit) =
        ledger(entry.program) { ledger ->
            if (ledger == null) {
                onDone(Reservation.Unknown)
                return@ledger
            }
            val total = ledger.total - ledger.abandoned(wallMillis()).coerceAtMost(entry.tokens.toLong())
            val isContested = ledger.settled + entry.tokens <= budget
            onDone(if (total <= budget) Reservation.Granted else Reservation.BudgetSpent(total, isContested))
        }

    /** Reads the merged entries of [program] at a majority of complete daemons; [onDone] gets null without one. */
    fun ledger(program: ProgramKey, onDone: (TokenLedger?) -> Unit) {
        val ledger = TokenLedger()
        sendToAll(
            request = HistoryRequest.Tokens(program),
            awaitsAll = true,
            accept = { reply ->
                (reply as? HistoryReply.Tokens)?.entries?.forEach(ledger::apply)
                reply is HistoryReply.Tokens && reply.isComplete
            },
        ) { hasMajority -> onDone(ledger.takeIf { hasMajority }) }
    }

    /** Stores the settled tokens and the record of a turn; [onDone] gets whether a majority has them on disk. */
    fun finish(tokens: TokenEntry?, turn: TurnRecord?, onDone: (Boolean) -> Unit) =
        sendToAll(
            HistoryRequest.Finish(tokens, turn),
            awaitsAll = false,
            accept = { it is HistoryReply.Finished },
            onDone
        )

    /** Reads turn [id] of [account] and all turns that it continues. */
    fun chain(id: String, account: String, onDone: (ChainLookup) -> Unit) {
        val group = view()
        if (group == null) onDone(ChainLookup.Unknown) else ChainReader(group, account, onDone).read(id, emptyList())
    }

    private fun sendToAll(
        request: HistoryRequest,
        awaitsAll: Boolean,
        accept: (HistoryReply?) -> Boolean,
        onDone: (Boolean) -> Unit,
    ) {
        val group = view()
        if (group == null || group.members.isEmpty()) {
            onDone(false)
            return
        }
        val collector = ReplyCollector(group, awaitsAll, accept, onDone)
        group.members.forEach { member ->
            channel.send(member, group.stampFor(member.name), request, collector::onReply)
            // Once a majority has replied, unresponsive daemons are not waited for.
            if (member.name in group.unresponsive) collector.stopAwaitingOne()
        }
    }

    /** Collects the replies to one request that was sent to all members. */
    private class ReplyCollector(
        private val group: GroupView,
        private val awaitsAll: Boolean,
        private val accept: (HistoryReply?) -> Boolean,
        private val onDone: (Boolean) -> Unit,
    ) {
        private var accepted = 0
        private var answered = 0
        private var awaited = group.members.size
        private var isDone = false

        fun stopAwaitingOne() {
            awaited--
            check()
        }

        fun onReply(reply: HistoryReply?) {
            answered++
            if (!isDone && accept(reply)) accepted++
            check()
        }

        private fun check() {
            val hasMajority = accepted >= group.majority
            val isEnough = hasMajority && (!awaitsAll || answered >= awaited)
            if (isDone || !(isEnough || answered >= group.members.size)) return
            isDone = true
            onDone(hasMajority)
        }
    }

    /** Asks one daemon after the other, nearest first, for the rest of a chain. */
    private inner class ChainReader(
        private val group: GroupView,
        private val account: String,
        private val onDone: (ChainLookup) -> Unit,
    ) {
        private val withoutTurn = HashSet<String>()

        fun read(id: String, newer: List<TurnRecord>) {
            withoutTurn.clear()
            ask(id, newer, index = 0)
        }

        private fun ask(id: String, newer: List<TurnRecord>, index: Int) {
            if (index >= group.members.size) {
                val isAbsent = withoutTurn.size >= group.majority
                // A turn is stored after those it continues, so only the newest turn of a chain may never have existed.
                onDone(if (isAbsent && newer.isEmpty()) ChainLookup.NoSuchTurn else ChainLookup.Unknown)
                return
            }
            val member = group.members[index]
            channel.send(member, group.stampFor(member.name), HistoryRequest.Chain(id, account)) { reply ->
                val turns = (reply as? HistoryReply.Turns)?.turns.orEmpty()
                val missing = (reply as? HistoryReply.Turns)?.missing
                when {
                    turns.isNotEmpty() && missing == null -> onDone(ChainLookup.Found(turns + newer))
                    turns.isNotEmpty() && missing != null -> read(missing, turns + newer)
                    else -> {
                        if (reply is HistoryReply.Turns) withoutTurn.add(member.name)
                        ask(id, newer, index + 1)
                    }
                }
            }
        }
    }

    companion object {
        /** Time-out of one reply: a round trip and a sync, with a margin for a busy daemon. */
        val REPLY_TIMEOUT: Duration = 600.milliseconds
    }
}
