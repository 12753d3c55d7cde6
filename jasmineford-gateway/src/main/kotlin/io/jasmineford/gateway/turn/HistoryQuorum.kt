package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of a reservation of tokens. */
sealed interface Reservation {
    /** The turn may run. */
    data object Granted : Reservation

    /**
     * The budget does not hold the turn.
     *
     * @property total tokens spent and reserved, this turn included.
     * @property isContested the budget would hold it without the reservations of turns that have not ended.
     */
    data class BudgetSpent(val total: Long, val isContested: Boolean) : Reservation

    /** Too few history daemons answered to tell. */
    data object Unknown : Reservation
}

/** Outcome of reading a chain of turns. */
sealed interface ChainLookup {
    /** The turns, oldest first. */
    class Found(val turns: List<TurnRecord>) : ChainLookup

    /** There is certainly no such turn. */
    data object NoSuchTurn : ChainLookup

    /** It cannot be told whether there is one. */
    data object Unknown : ChainLookup
}

/** Sends one request to one history daemon. */
fun interface HistoryChannel {
    /** Sends [request] to [member] under the group of [epoch]; [onReply] gets null without an answer in time. */
    fun send(member: Member, epoch: Long, request: HistoryRequest, onReply: (HistoryReply?) -> Unit)
}

/**
 * The group as its clients see it.
 *
 * @property silent voters that were not heard lately.
 * @property members registered voters, nearest first; a voter without a registration is missing but counts for the
 * majority.
 */
data class GroupView(
    val epoch: Long,
    val majority: Int,
    val members: List<Member>,
    val silent: Set<String> = emptySet(),
)

/**
 * Reads and writes history at majorities of the group of history daemons.
 *
 * Any two majorities share a daemon, so the entries of a majority together hold every reservation that was granted
 * before. Each daemon may have missed some of them; their sums are compared by digests and the entries are joined
 * where they differ. Of concurrent reservations at the same daemons, the last one counts all others against itself.
 *
 * @param view the group in force; null before it is known.
 */
class HistoryQuorum(
    private val view: () -> GroupView?,
    private val channel: HistoryChannel,
    private val wallMillis: () -> Long,
) {
    /** Reserves [entry] against [budget]. */
    fun reserve(entry: TokenEntry, budget: Long, onDone: (Reservation) -> Unit) {
        val replies = ArrayList<HistoryReply.Reserved>()
        gather(
            request = HistoryRequest.Reserve(entry),
            isAllAwaited = true,
            isCounted = { reply -> (reply as? HistoryReply.Reserved)?.let(replies::add) ?: false },
        ) { hasMajority ->
            val isAgreed = replies.distinct().size == 1
            when {
                !hasMajority -> onDone(Reservation.Unknown)
                // All entries together are no more than the sum of what each daemon holds.
                replies.sumOf { it.total } <= budget -> onDone(Reservation.Granted)
                isAgreed && replies.first().total <= budget -> onDone(Reservation.Granted)
                else -> judgeEntries(entry, budget, onDone)
            }
        }
    }

    /** Judges by all entries of a majority, since each daemon may have missed some. */
    private fun judgeEntries(entry: TokenEntry, budget: Long, onDone: (Reservation) -> Unit) {
        val account = TokenAccount()
        gather(
            request = HistoryRequest.Tokens(entry.program),
            isAllAwaited = true,
            isCounted = { reply -> (reply as? HistoryReply.Tokens)?.entries?.onEach(account::apply) != null },
        ) { hasMajority ->
            val total = account.total - account.abandoned(wallMillis()).coerceAtMost(entry.tokens.toLong())
            onDone(
                when {
                    !hasMajority -> Reservation.Unknown
                    total <= budget -> Reservation.Granted
                    else -> Reservation.BudgetSpent(total, isContested = account.settled + entry.tokens <= budget)
                },
            )
        }
    }

    /** Stores the end of a turn; [onDone] tells whether a majority has it on disk. */
    fun finish(tokens: TokenEntry?, turn: TurnRecord?, onDone: (Boolean) -> Unit) =
        gather(
            HistoryRequest.Finish(tokens, turn),
            isAllAwaited = false,
            isCounted = { it is HistoryReply.Finished },
            onDone
        )

    /** Reads turn [id] of [account] with all that it continues from. */
    fun chain(id: String, account: String, onDone: (ChainLookup) -> Unit) {
        val group = view()
        if (group == null) onDone(ChainLookup.Unknown) else ChainReader(group, account, onDone).read(id, emptyList())
    }

    private fun gather(
        request: HistoryRequest,
        isAllAwaited: Boolean,
        isCounted: (HistoryReply?) -> Boolean,
        onDone: (Boolean) -> Unit,
    ) {
        val group = view()
        if (group == null || group.members.isEmpty()) {
            onDone(false)
            return
        }
        val gathering = Gathering(group, isAllAwaited, isCounted, onDone)
        group.members.forEach { member ->
            channel.send(member, group.epoch, request, gathering::take)
            // A daemon that went silent is not waited for beyond the majority.
            if (member.name in group.silent) gathering.expectOneLess()
        }
    }

    /** Replies to one request that was sent to the whole group. */
    private class Gathering(
        private val group: GroupView,
        private val isAllAwaited: Boolean,
        private val isCounted: (HistoryReply?) -> Boolean,
        private val onDone: (Boolean) -> Unit,
    ) {
        private var counted = 0
        private var answered = 0
        private var awaited = group.members.size
        private var isDone = false

        fun expectOneLess() {
            awaited--
            check()
        }

        fun take(reply: HistoryReply?) {
            answered++
            if (!isDone && isCounted(reply)) counted++
            check()
        }

        private fun check() {
            val hasMajority = counted >= group.majority
            val isEnough = hasMajority && (!isAllAwaited || answered >= awaited)
            if (isDone || !(isEnough || answered >= group.members.size)) return
            isDone = true
            onDone(hasMajority)
        }
    }

    /** Asks one daemon after the other, nearest first, for what is still missing. */
    private inner class ChainReader(
        private val group: GroupView,
        private val account: String,
        private val onDone: (ChainLookup) -> Unit,
    ) {
        private val absentAt = HashSet<String>()

        fun read(id: String, newer: List<TurnRecord>) {
            absentAt.clear()
            ask(id, newer, index = 0)
        }

        private fun ask(id: String, newer: List<TurnRecord>, index: Int) {
            if (index >= group.members.size) {
                val isAbsent = absentAt.size >= group.majority
                // A chain is stored oldest first, so only its newest turn can be one that never was.
                onDone(if (isAbsent && newer.isEmpty()) ChainLookup.NoSuchTurn else ChainLookup.Unknown)
                return
            }
            channel.send(group.members[index], group.epoch, HistoryRequest.Chain(id, account)) { reply ->
                val turns = (reply as? HistoryReply.Turns)?.turns.orEmpty()
                val missing = (reply as? HistoryReply.Turns)?.missing
                when {
                    turns.isNotEmpty() && missing == null -> onDone(ChainLookup.Found(turns + newer))
                    turns.isNotEmpty() && missing != null -> read(missing, turns + newer)
                    else -> {
                        if (reply is HistoryReply.Turns) absentAt.add(group.members[index].name)
                        ask(id, newer, index + 1)
                    }
                }
            }
        }
    }

    companion object {
        /** Time for one answer: a sync and two ways, with room for a busy daemon. */
        val REPLY_TIMEOUT: Duration = 600.milliseconds
    }
}
