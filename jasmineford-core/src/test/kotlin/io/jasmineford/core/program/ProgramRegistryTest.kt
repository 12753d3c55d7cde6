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
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class ProgramRegistryTest {
    private val clock = VirtualClock()
    private val registry = ProgramRegistry(clock, HistoryLimits(historyChars = 100, turnBytes = 60, keptBodyBytes = 10))
    private val program = ProgramId(ScopedName("be-wal", "club"), "p")
    private val first = TurnRequest(program, turn = 1, requestDigest = "d1", newMessages = listOf(Message("user", "hi")))
    private val effect = TurnRequest(program, turn = 2, isIdempotent = false, idempotencyKey = "k", requestDigest = "e1")

    private fun begin(request: TurnRequest) = assertIs<TurnDecision.Run>(registry.begin(request)).ticket

    private fun refusal(request: TurnRequest) = assertIs<TurnDecision.Refuse>(registry.begin(request)).refusal

    private fun commitFirst() =
        registry.commit(begin(first), first.newMessages + Message("assistant", "yes"), Usage(5, 5))

    @Test
    fun `each invalid request is refused with its own reason and changes nothing`() {
        commitFirst()
        val ticket = begin(effect)
        registry.recordIntent(ticket)
        registry.recordOutcome(ticket, Outcome.RESULT, EffectReply(200, body = "ok"))
        val before = registry.states()
        val next = first.copy(turn = 3, requestDigest = "d3")
        val expected = mapOf(
            next.copy(turn = 7) to Reason.WRONG_TURN,
            effect.copy(requestDigest = "other") to Reason.IDEMPOTENCY_KEY_REUSED,
            next.copy(historyDigest = "other") to Reason.HISTORY_MISMATCH,
            next.copy(newMessages = listOf(Message("user", "x".repeat(99)))) to Reason.HISTORY_TOO_LARGE,
            next.copy(newMessages = listOf(Message("user", "ж".repeat(31)))) to Reason.HISTORY_TOO_LARGE,
            next.copy(program = program.copy(name = "q")) to Reason.UNKNOWN_PROGRAM,
            // Program names are scoped to the account, so another account's program is unknown here.
            next.copy(program = program.copy(account = ScopedName("ub", "shop"))) to Reason.UNKNOWN_PROGRAM,
            next.copy(program = program.copy(name = "none/sub"), turn = 1) to Reason.UNKNOWN_PROGRAM,
            next.copy(isIdempotent = false) to Reason.IDEMPOTENCY_KEY_MISSING,
        )
        val actual = expected.keys.associateWith { refusal(it).reason }
        assertEquals(expected, actual)
        assertEquals(before, registry.states(), "expected refusals to change nothing")
    }

    @Test
    fun `a repeated turn gets the same answer, and a different request for the same turn is refused`() {
        val record = commitFirst()
        val again = assertIs<TurnDecision.ReplayTurn>(registry.begin(first))
        assertEquals("yes" to record?.digest, again.answer.content to again.digest)
        assertEquals(Reason.WRONG_TURN, refusal(first.copy(requestDigest = "other")).reason)
        begin(first.copy(turn = 2, requestDigest = "d2"))
        assertEquals(Outcome.OUTCOME_UNKNOWN, refusal(first.copy(turn = 2, requestDigest = "d2")).outcome)
        assertEquals(Outcome.REFUSED_NOT_RUN, refusal(first.copy(turn = 2, requestDigest = "d9")).outcome)
    }

    @Test
    fun `a call that did not run may reuse its key and turn, one with an unknown outcome may not`() {
        commitFirst()
        val ticket = begin(effect)
        assertEquals(Outcome.OUTCOME_UNKNOWN, refusal(effect).outcome, "the same call is in flight")
        registry.recordIntent(ticket)
        registry.recordOutcome(ticket, Outcome.REFUSED_NOT_RUN, EffectReply(503))
        assertEquals(2, registry.state(program)?.nextTurn)
        val second = begin(effect)
        registry.recordIntent(second)
        val state = checkNotNull(registry.state(program))
        registry.removeIf { true }
        registry.restore(program, state)
        assertNull(registry.recordOutcome(second, Outcome.RESULT, EffectReply(200)), "expected a stale ticket")
        assertEquals(Reason.INTENT_UNRESOLVED, refusal(effect).reason)
        begin(first.copy(turn = 3, requestDigest = "d3"))
    }

    @Test
    fun `a ticket from before a takeover does not end a later turn`() {
        val old = begin(first)
        registry.removeIf { true }
        val new = begin(first)
        assertNull(registry.commit(old, first.newMessages, Usage()))
        assertIs<ProgramRecord.TurnCommitted>(registry.commit(new, first.newMessages, Usage()))
    }

    @Test
    fun `budgets of calls, tokens and wall time carry over in a takeover`() {
        val small = first.copy(budget = ProgramBudget(calls = 2, tokens = 30, wallTimeSeconds = 10), reservedTokens = 10)
        val ticket = begin(small)
        clock.advance(8.seconds)
        registry.commit(ticket, small.newMessages, Usage(10, 0))
        val state = checkNotNull(registry.state(program))
        val other = ProgramRegistry(clock)
        // Restoring the same state twice must not count it twice.
        repeat(2) { other.restore(program, state) }
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
    fun `an ended tree is removed as a whole, and later if it has non-idempotent calls`() {
        commitFirst()
        val sub = program.copy(name = "p/sub")
        val ticket = begin(first.copy(program = sub))
        registry.close(program)
        clock.advance(2.hours)
        registry.removeExpired()
        assertEquals(2, registry.size, "expected the tree to be kept while a sub-agent runs")
        registry.release(ticket)
        registry.close(sub)
        val call = begin(effect.copy(program = program.copy(name = "call:k"), turn = 1))
        registry.recordIntent(call)
        registry.recordOutcome(call, Outcome.RESULT, EffectReply(200))
        clock.advance(2.hours)
        registry.removeExpired()
        assertEquals(listOf("call:k"), registry.states().keys.map { it.name })
        clock.advance(24.hours)
        registry.removeExpired()
        assertEquals(0, registry.size)
    }

    @Test
    fun `a checkpoint restores the state and its parts fit into segments`() {
        val state = ProgramState(
            nextTurn = 5,
            messages = (1..40).map { Message("user", "ж".repeat(20_000)) },
            effects = (1..9).associate { "k$it" to Effect(it, "d", Outcome.RESULT, EffectReply(200, body = "x".repeat(60_000))) },
        )
        val records = state.toCheckpoint(program)
        assertEquals(true, records.all { Journal.fits(it) }, "expected every part to fit into a segment")
        assertEquals(state, records.fold(ProgramState()) { before, record -> before.apply(record) })
    }
}
