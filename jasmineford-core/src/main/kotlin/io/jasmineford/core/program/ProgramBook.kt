package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Programs that this VM keeps: order of turns, history and budgets.
 *
 * The driver asks [begin], makes the returned records durable where required, runs the call, and ends it with one of
 * [commit], [recordOutcome] or [release].
 */
class ProgramBook(
    private val clock: MonotonicClock,
    private val historyLimitChars: Long = DEFAULT_HISTORY_LIMIT_CHARS,
) {
    private val programs = HashMap<ProgramId, Entry>()
    private val trees = HashMap<ProgramId, Tree>()

    /** Number of programs kept. */
    val size: Int get() = programs.size

    /** State of [program], or null. */
    fun state(program: ProgramId): ProgramState? = programs[program]?.state

    /** Programs kept, with their states. */
    fun states(): Map<ProgramId, ProgramState> = programs.mapValues { it.value.state }

    /** Takes a program over from a replayed journal. */
    fun adopt(program: ProgramId, state: ProgramState) {
        programs[program] = Entry(state)
        val tree = trees.getOrPut(program.root) { Tree(startedAt = clock.now()) }
        tree.calls += state.calls
        tree.tokens += state.tokens
    }

    /** Drops the programs of shards that this VM no longer owns. */
    fun dropIf(isLost: (ProgramId) -> Boolean) {
        programs.keys.removeAll(isLost)
        trees.keys.removeAll(isLost)
    }

    /** Checks [request] and reserves its budget. */
    fun begin(request: TurnRequest): TurnDecision {
        val entry = programs[request.program]
        val known = request.idempotencyKey?.let { entry?.state?.effects?.get(it) }
        if (known != null) return repeated(request, known)
        val refusal = stateRefusal(request, entry) ?: budgetRefusal(request)
        if (refusal != null) return TurnDecision.Refuse(refusal)
        return run(request, entry)
    }

    /** Ends a turn that is part of the history. The record must be durable before the caller sees the end. */
    fun commit(ticket: TurnTicket, messages: List<Message>, usage: Usage): JournalRecord.TurnCommitted {
        val entry = entryOf(ticket)
        val digest = historyDigest(entry.state.digest, messages)
        val record = JournalRecord.TurnCommitted(ticket.program, ticket.turn, messages, usage, digest)
        settle(ticket, calls = 1, tokens = usage.prompt + usage.completion)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Ends a call that may not be repeated. */
    fun recordOutcome(ticket: TurnTicket, outcome: Outcome, status: Int, body: String): JournalRecord.OutcomeRecorded {
        val entry = entryOf(ticket)
        val key = checkNotNull(ticket.idempotencyKey) { "expected a ticket with an idempotency key, actual none" }
        val record = JournalRecord.OutcomeRecorded(ticket.program, ticket.turn, key, outcome, status, body)
        settle(ticket, calls = 1, tokens = 0)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Ends a turn that did not become part of the history; [usedTokens] count against the budget. */
    fun release(ticket: TurnTicket, usedTokens: Long = 0) {
        if (ticket.program in programs) settle(ticket, calls = if (usedTokens > 0) 1 else 0, tokens = usedTokens)
    }

    /** Ends the program; null when it is unknown or ended already. */
    fun close(program: ProgramId): JournalRecord.ProgramClosed? {
        val entry = programs[program] ?: return null
        if (entry.state.isClosed) return null
        val record = JournalRecord.ProgramClosed(program)
        entry.state = entry.state.apply(record)
        return record
    }

    private fun run(request: TurnRequest, entry: Entry?): TurnDecision.Run {
        val records = mutableListOf<JournalRecord>()
        val current = entry ?: open(request, records)
        val ticket = TurnTicket(
            program = request.program,
            turn = current.state.nextTurn,
            reservedTokens = request.reservedTokens,
            idempotencyKey = request.idempotencyKey.takeIf { !request.isIdempotent },
        )
        if (!request.isIdempotent && request.idempotencyKey != null) {
            val intent = JournalRecord.IntentRecorded(
                program = request.program,
                turn = ticket.turn,
                idempotencyKey = request.idempotencyKey,
                requestDigest = request.requestDigest,
            )
            records += intent
            current.state = current.state.apply(intent)
        }
        current.inFlight = ticket
        val tree = trees.getValue(request.program.root)
        tree.reservedCalls++
        tree.reservedTokens += request.reservedTokens
        return TurnDecision.Run(ticket, records, mustBeDurable = !request.isIdempotent, current.state.messages)
    }

    private fun open(request: TurnRequest, records: MutableList<JournalRecord>): Entry {
        val record = JournalRecord.ProgramOpened(request.program, request.program.parent?.name, request.budget)
        records += record
        trees.getOrPut(request.program.root) { Tree(startedAt = clock.now()) }
        return Entry(ProgramState().apply(record)).also { programs[request.program] = it }
    }

    private fun repeated(request: TurnRequest, known: Effect): TurnDecision = when {
        known.requestDigest != request.requestDigest -> refuse(
            Reason.IDEMPOTENCY_KEY_REUSED,
            "expected the request that first used the key, actual another one",
        )

        programs[request.program]?.inFlight?.idempotencyKey == request.idempotencyKey -> refuse(
            Reason.PROGRAM_BUSY,
            "the call with this idempotency key is in flight",
            Outcome.OUTCOME_UNKNOWN,
        )

        known.outcome == null -> refuse(
            Reason.INTENT_UNRESOLVED,
            "an earlier attempt was dispatched or about to be, and its outcome is not known",
            Outcome.OUTCOME_UNKNOWN,
        )

        else -> TurnDecision.Replay(known)
    }

    private fun stateRefusal(request: TurnRequest, entry: Entry?): Refusal? {
        val state = entry?.state
        val expectedTurn = state?.nextTurn ?: 1
        val parent = request.program.parent
        return when {
            state == null && (request.turn ?: 1) != 1 -> Refusal(
                Reason.UNKNOWN_PROGRAM,
                "expected turn 1 of a new program, actual ${request.turn}",
            )

            parent != null && parent !in programs -> Refusal(Reason.UNKNOWN_PROGRAM, "no parent program ${parent.name}")
            state?.isClosed == true -> Refusal(Reason.PROGRAM_CLOSED, "the program has ended")
            entry?.inFlight != null -> Refusal(Reason.PROGRAM_BUSY, "turn ${entry.inFlight?.turn} is in flight")
            request.turn != null && request.turn != expectedTurn -> Refusal(
                Reason.WRONG_TURN,
                "expected turn $expectedTurn, actual ${request.turn}",
            )

            request.historyDigest != null && request.historyDigest != (state?.digest ?: EMPTY_HISTORY_DIGEST) ->
                Refusal(Reason.HISTORY_MISMATCH, "expected digest ${state?.digest}, actual ${request.historyDigest}")

            historyChars(state) > historyLimitChars -> Refusal(
                Reason.HISTORY_TOO_LARGE,
                "expected at most $historyLimitChars characters, actual ${historyChars(state)}",
            )

            !request.isIdempotent && request.idempotencyKey == null -> Refusal(
                Reason.IDEMPOTENCY_KEY_MISSING,
                "expected an Idempotency-Key header, actual none",
            )

            else -> null
        }
    }

    private fun budgetRefusal(request: TurnRequest): Refusal? {
        val tree = trees[request.program.root] ?: return null
        val budget = programs[request.program.root]?.state?.budget ?: request.budget
        val calls = tree.calls + tree.reservedCalls
        val tokens = tree.tokens + tree.reservedTokens + request.reservedTokens
        val wallTime = clock.now() - tree.startedAt
        return when {
            calls >= budget.calls -> Refusal(Reason.BUDGET_CALLS, "expected fewer than ${budget.calls}, actual $calls")
            tokens > budget.tokens -> Refusal(Reason.BUDGET_TOKENS, "expected at most ${budget.tokens}, actual $tokens")
            wallTime > budget.wallTimeSeconds.seconds -> Refusal(
                Reason.BUDGET_TIME,
                "expected at most ${budget.wallTimeSeconds} s, actual ${wallTime.inWholeSeconds} s",
            )

            else -> null
        }
    }

    private fun settle(ticket: TurnTicket, calls: Int, tokens: Long) {
        val tree = trees.getValue(ticket.program.root)
        tree.reservedCalls--
        tree.reservedTokens -= ticket.reservedTokens
        tree.calls += calls
        tree.tokens += tokens
        programs.getValue(ticket.program).inFlight = null
    }

    private fun entryOf(ticket: TurnTicket): Entry {
        val entry = programs[ticket.program]
        check(entry?.inFlight == ticket) { "expected ticket ${entry?.inFlight} in flight, actual $ticket" }
        return entry
    }

    private fun refuse(reason: Reason, detail: String, outcome: Outcome = Outcome.REFUSED_NOT_RUN) =
        TurnDecision.Refuse(Refusal(reason, detail, outcome))

    private class Entry(var state: ProgramState, var inFlight: TurnTicket? = null)

    private class Tree(
        val startedAt: Duration,
        var calls: Int = 0,
        var tokens: Long = 0,
        var reservedCalls: Int = 0,
        var reservedTokens: Long = 0,
    )
}

private fun historyChars(state: ProgramState?): Long = state?.messages.orEmpty().sumOf { it.content.length.toLong() }

private const val DEFAULT_HISTORY_LIMIT_CHARS = 2_000_000L
