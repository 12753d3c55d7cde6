package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HistoryQuorumTest {
    private val names = listOf("a", "b", "c")
    private val members = names.map { Member(it, 1, "zone-$it", "r", isEntry = false, ip = "127.0.0.1", peerPort = 1) }
    private val states = names.associateWith { HistoryState() }.toMutableMap()
    private val down = HashSet<String>()
    private val incomplete = HashSet<String>()
    private val queue = ArrayList<() -> Unit>()
    private var wall = 1_000_000L

    private val quorum = HistoryQuorum(
        view = { GroupView(epoch = 1, majority = 2, members = members) },
        channel = { member, _, request, onReply -> queue.add { deliver(member, request, onReply) } },
        wallMillis = { wall },
    )

    private fun deliver(member: Member, request: HistoryRequest, onReply: (HistoryReply?) -> Unit) {
        val state = states.getValue(member.name)
        val reply = if (member.name in down) null else handle(state, member.name in incomplete, request)
        onReply(reply)
    }

    private fun handle(
        state: HistoryState,
        isIncomplete: Boolean,
        request: HistoryRequest,
    ): HistoryReply = when (request) {
        is HistoryRequest.Reserve -> {
            state.apply(HistoryEntry(tokens = request.entry))
            val ledger = state.tokens(request.entry.program)
            if (isIncomplete) HistoryReply.Incomplete else HistoryReply.Reserved(ledger.total, ledger.digest)
        }
        is HistoryRequest.Finish -> {
            request.tokens?.let { state.apply(HistoryEntry(tokens = it)) }
            request.turn?.let { state.apply(HistoryEntry(turn = it)) }
            HistoryReply.Finished
        }
        is HistoryRequest.Chain -> {
            val (turns, missing) = state.chain(request.id, request.account)
            if (missing != null && isIncomplete) HistoryReply.Incomplete else HistoryReply.Turns(turns, missing)
        }
        is HistoryRequest.Tokens -> HistoryReply.Tokens(state.tokens(request.program).entries.toList(), !isIncomplete)
        is HistoryRequest.Copy -> HistoryReply.Incomplete
    }

    private fun settle() {
        while (queue.isNotEmpty()) queue.removeFirst()()
    }

    private fun turn(id: String, previous: String? = null) =
        TurnRecord(id, "club", previous, "in-$id".toByteArray(), "out-$id".toByteArray())

    private fun store(turn: TurnRecord): Boolean {
        var isStored = false
        quorum.finish(null, turn) { isStored = it }
        settle()
        return isStored
    }

    private fun chain(id: String, account: String = "club"): ChainLookup {
        var result: ChainLookup? = null
        quorum.chain(id, account) { result = it }
        settle()
        return checkNotNull(result)
    }

    @Test
    fun `a turn that was stored while one daemon was down is found after another daemon lost its disk`() {
        down.add("a")
        assertTrue(store(turn("t1")))
        assertTrue(store(turn("t2", previous = "t1")))
        down.clear()
        states["b"] = HistoryState()
        incomplete.add("b")
        val found = assertIs<ChainLookup.Found>(chain("t2"))
        assertEquals(listOf("t1", "t2"), found.turns.map { it.id })
    }

    @Test
    fun `a turn is not stored when only one daemon answers`() {
        down.addAll(listOf("a", "b"))
        assertEquals(false, store(turn("t1")))
    }

    @Test
    fun `a turn is reported absent only when a majority of complete daemons lacks it`() {
        assertEquals(ChainLookup.NoSuchTurn, chain("never"))
        down.add("a")
        assertEquals(ChainLookup.NoSuchTurn, chain("never"))
        incomplete.add("b")
        assertEquals(ChainLookup.Unknown, chain("never"))
    }

    @Test
    fun `a turn of another account is reported absent`() {
        store(turn("t1"))
        assertEquals(ChainLookup.NoSuchTurn, chain("t1", account = "other"))
    }

    @Test
    fun `a chain whose turns are spread over daemons is assembled`() {
        down.add("b")
        store(turn("t1"))
        down.clear()
        down.add("a")
        store(turn("t2", previous = "t1"))
        down.clear()
        val found = assertIs<ChainLookup.Found>(chain("t2"))
        assertEquals(listOf("t1", "t2"), found.turns.map { it.id })
    }

    /** Guards against a budget, or the version of a stream, that is judged by a daemon that lost its disk. */
    @Test
    fun `token entries are not read from a majority with a daemon that is not complete`() {
        val program = ProgramKey("club", "p")
        down.add("c")
        quorum.finish(TokenEntry(program, "t1", TURN_TOKENS, isSettled = true), null) {}
        settle()
        states["a"] = HistoryState()
        incomplete.add("a")
        down.apply { clear() }.add("b")
        var ledger: TokenLedger? = null
        quorum.ledger(program) { ledger = it }
        settle()
        assertNull(ledger)
    }

    @Test
    fun `reservations that some daemons missed are all counted`() {
        val program = ProgramKey("club", "p")
        var granted = 0
        repeat(12) { attempt ->
            down.clear()
            down.add(names[attempt % names.size])
            quorum.reserve(TokenEntry(program, "t$attempt", TURN_TOKENS, isSettled = false, wall), BUDGET) {
                if (it is Reservation.Granted) granted++
            }
            settle()
        }
        assertEquals((BUDGET / TURN_TOKENS).toInt(), granted)
    }

    @Test
    fun `a settlement that one daemon missed releases the tokens`() {
        val program = ProgramKey("club", "p")
        val first = TokenEntry(program, "t1", tokens = 400, isSettled = false)
        quorum.reserve(first, BUDGET) {}
        settle()
        down.add("c")
        quorum.finish(first.copy(tokens = 10, isSettled = true), null) {}
        settle()
        down.clear()
        var result: Reservation? = null
        quorum.reserve(TokenEntry(program, "t2", TURN_TOKENS, isSettled = false), BUDGET) { result = it }
        settle()
        assertEquals(Reservation.Granted, result)
    }

    @Test
    fun `reservations of dead daemons are ignored after a time, up to the tokens of one turn`() {
        val program = ProgramKey("club", "p")
        repeat(4) { quorum.reserve(TokenEntry(program, "dead$it", TURN_TOKENS, isSettled = false, wall), BUDGET) {} }
        settle()
        val results = ArrayList<Reservation>()
        fun tryAgain(attempt: String) {
            val entry = TokenEntry(program, attempt, TURN_TOKENS, isSettled = false, wall)
            quorum.reserve(entry, BUDGET) { results.add(it) }
            settle()
            val used = if (results.last() == Reservation.Granted) TURN_TOKENS else 0
            quorum.finish(entry.copy(tokens = used, isSettled = true), null) {}
            settle()
        }
        tryAgain("t1")
        wall += 7000
        tryAgain("t2")
        tryAgain("t3")
        assertIs<Reservation.BudgetSpent>(results[0])
        assertEquals(Reservation.Granted, results[1])
        assertIs<Reservation.BudgetSpent>(results[2])
    }

    @Test
    fun `concurrent turns exceed the budget by at most one turn in any order of messages`() {
        repeat(SCHEDULES) { seed ->
            val random = Random(seed)
            names.forEach { states[it] = HistoryState() }
            down.clear()
            var granted = 0
            val program = ProgramKey("club", "p$seed")
            repeat(12) { attempt ->
                quorum.reserve(TokenEntry(program, "t$attempt", TURN_TOKENS, isSettled = false, wall), BUDGET) {
                    if (it is Reservation.Granted) granted++
                }
                if (random.nextInt(4) == 0) down.apply { clear() }.add(names.random(random))
                repeat(random.nextInt(6)) { if (queue.isNotEmpty()) queue.removeAt(random.nextInt(queue.size))() }
            }
            while (queue.isNotEmpty()) queue.removeAt(random.nextInt(queue.size))()
            assertTrue(granted * TURN_TOKENS <= BUDGET + TURN_TOKENS, "seed=$seed granted=$granted")
        }
    }

    @Test
    fun `a settlement releases unused tokens and a late reservation does not override it`() {
        val program = ProgramKey("club", "p")
        val state = HistoryState()
        state.apply(HistoryEntry(tokens = TokenEntry(program, "t", 100, isSettled = false)))
        state.apply(HistoryEntry(tokens = TokenEntry(program, "t", 30, isSettled = true)))
        state.apply(HistoryEntry(tokens = TokenEntry(program, "t", 100, isSettled = false)))
        assertEquals(30, state.tokens(program).total)
    }

    private companion object {
        /** Number of random message orders in each run. */
        const val SCHEDULES = 1000
        const val TURN_TOKENS = 100
        const val BUDGET = 400L
    }
}
