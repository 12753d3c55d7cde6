package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class ProgramBookTest {
    private val clock = VirtualClock()
    private val book = ProgramBook(clock, HistoryLimits(historyChars = 100, turnBytes = 60, keptBodyBytes = 10))
    private val program = ProgramId(ScopedName("be-wal", "club"), "p")
    private val first = TurnRequest(program, turn = 1, requestDigest = "d1", newMessages = listOf(Message("user", "hi")))
    private val effect = TurnRequest(program, turn = 2, isIdempotent = false, idempotencyKey = "k", requestDigest = "e1")

    private fun begin(request: TurnRequest) = assertIs<TurnDecision.Run>(book.begin(request)).ticket

    private fun refusal(request: TurnRequest) = assertIs<TurnDecision.Refuse>(book.begin(request)).refusal

    private fun commitFirst() = book.commit(begin(first), first.newMessages + Message("assistant", "yes"), Usage(5, 5))

    @Test
    fun `each bad request has its own reason and changes nothing`() {
        commitFirst()
        val ticket = begin(effect)
        book.intend(ticket)
        book.recordOutcome(ticket, Outcome.RESULT, EffectReply(200, body = "ok"))
        val before = book.states()
        val next = first.copy(turn = 3, requestDigest = "d3")
        val expected = mapOf(
            next.copy(turn = 7) to Reason.WRONG_TURN,
            effect.copy(requestDigest = "other") to Reason.IDEMPOTENCY_KEY_REUSED,
            next.copy(historyDigest = "other") to Reason.HISTORY_MISMATCH,
            next.copy(newMessages = listOf(Message("user", "x".repeat(99)))) to Reason.HISTORY_TOO_LARGE,
            next.copy(newMessages = listOf(Message("user", "ж".repeat(31)))) to Reason.HISTORY_TOO_LARGE,
            next.copy(program = program.copy(name = "q")) to Reason.UNKNOWN_PROGRAM,
            // Names are per account, so another account's program is one that this account doesn't have.
            next.copy(program = program.copy(account = ScopedName("ub", "shop"))) to Reason.UNKNOWN_PROGRAM,
            next.copy(program = program.copy(name = "none/sub"), turn = 1) to Reason.UNKNOWN_PROGRAM,
            next.copy(isIdempotent = false) to Reason.IDEMPOTENCY_KEY_MISSING,
        )
        val actual = expected.keys.associateWith { refusal(it).reason }
        assertEquals(expected, actual)
        assertEquals(before, book.states(), "expected refusals to change nothing")
    }

    @Test
    fun `a turn that is sent again gets its answer again, and a crossed one does not`() {
        val record = commitFirst()
        val again = assertIs<TurnDecision.ReplayTurn>(book.begin(first))
        assertEquals("yes" to record?.digest, again.answer.content to again.digest)
        assertEquals(Reason.WRONG_TURN, refusal(first.copy(requestDigest = "other")).reason)
        begin(first.copy(turn = 2, requestDigest = "d2"))
        assertEquals(Outcome.OUTCOME_UNKNOWN, refusal(first.copy(turn = 2, requestDigest = "d2")).outcome)
        assertEquals(Outcome.REFUSED_NOT_RUN, refusal(first.copy(turn = 2, requestDigest = "d9")).outcome)
    }

    @Test
    fun `a call that did not run may use its key and its turn again, one with an unknown outcome may not`() {
        commitFirst()
        val ticket = begin(effect)
        assertEquals(Outcome.OUTCOME_UNKNOWN, refusal(effect).outcome, "the same call is in flight")
        book.intend(ticket)
        book.recordOutcome(ticket, Outcome.REFUSED_NOT_RUN, EffectReply(503))
        assertEquals(2, book.state(program)?.nextTurn)
        val second = begin(effect)
        book.intend(second)
        val state = checkNotNull(book.state(program))
        book.dropIf { true }
        book.adopt(program, state)
        assertNull(book.recordOutcome(second, Outcome.RESULT, EffectReply(200)), "the ticket is of an earlier ownership")
        assertEquals(Reason.INTENT_UNRESOLVED, refusal(effect).reason)
        begin(first.copy(turn = 3, requestDigest = "d3"))
    }

    @Test
    fun `a ticket of an earlier ownership ends no turn of a later one`() {
        val old = begin(first)
        book.dropIf { true }
        val new = begin(first)
        assertNull(book.commit(old, first.newMessages, Usage()))
        assertIs<ProgramRecord.TurnCommitted>(book.commit(new, first.newMessages, Usage()))
    }

    @Test
    fun `budgets of calls, tokens and wall time go on after a takeover`() {
        val small = first.copy(budget = ProgramBudget(calls = 2, tokens = 30, wallTimeSeconds = 10), reservedTokens = 10)
        val ticket = begin(small)
        clock.advance(8.seconds)
        book.commit(ticket, small.newMessages, Usage(10, 0))
        val state = checkNotNull(book.state(program))
        val other = ProgramBook(clock)
        // Taking over twice, as after a lost reply, must not count twice.
        repeat(2) { other.adopt(program, state) }
        val next = small.copy(turn = 2, requestDigest = "d2")
        val overTokens = assertIs<TurnDecision.Refuse>(other.begin(next.copy(reservedTokens = 21)))
        assertEquals(Reason.BUDGET_TOKENS, overTokens.refusal.reason)
        val second = assertIs<TurnDecision.Run>(other.begin(next.copy(reservedTokens = 20))).ticket
        val sibling = next.copy(program = program.copy(name = "p/sub"), turn = 1)
        assertEquals(Reason.BUDGET_CALLS, assertIs<TurnDecision.Refuse>(other.begin(sibling)).refusal.reason)
        other.release(second)
        clock.advance(3.seconds)
        assertEquals(Reason.BUDGET_TIME, assertIs<TurnDecision.Refuse>(other.begin(next)).refusal.reason)
    }

    @Test
    fun `a checkpoint restores the state in parts that fit a segment`() {
        val state = ProgramState(
            nextTurn = 5,
            messages = (1..40).map { Message("user", "ж".repeat(20_000)) },
            effects = (1..9).associate { "k$it" to Effect(it, "d", Outcome.RESULT, EffectReply(200, body = "x".repeat(60_000))) },
        )
        val records = state.toCheckpoint(program)
        assertEquals(true, records.all { Journal.fits(it) }, "expected every part to fit a segment")
        assertEquals(state, records.fold(ProgramState()) { before, record -> before.apply(record) })
    }
}
