package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Programs that this VM keeps: order of turns, history and budgets.
 *
 * A turn is begun with [begin] and ended with one of [commit], [recordOutcome] or [release]. A ticket whose program was
 * dropped or taken over in between is stale; [commit] and [recordOutcome] then answer null and nothing changes.
 */
class ProgramBook(
    private val clock: MonotonicClock,
    private val limits: HistoryLimits = HistoryLimits(),
) {
    private val programs = HashMap<ProgramId, Entry>()
    private val trees = HashMap<ProgramId, BudgetTree>()
    private val members = HashMap<ProgramId, MutableSet<ProgramId>>()
    private var nextTicket = 1L

    /** Number of programs kept. */
    val size: Int get() = programs.size

    /** State of [program], or null. */
    fun state(program: ProgramId): ProgramState? = programs[program]?.state

    /** Programs kept, with their states. */
    fun states(): Map<ProgramId, ProgramState> = programs.mapValues { it.value.state }

    /** Whether [ticket] is the one in flight; false after its program was dropped or taken over. */
    fun isInFlight(ticket: TurnTicket): Boolean = entryOf(ticket) != null

    /**
     * Whether engine memory of [program] may be freed: it is unknown, has ended, or its last call ended at least [idle]
     * ago.
     */
    fun isUnused(program: ProgramId, idle: Duration): Boolean {
        val entry = programs[program] ?: return true
        return entry.inFlight == null && (entry.state.isClosed || clock.now() - entry.usedAt >= idle)
    }

    /** Takes a program over from a replayed journal. */
    fun adopt(program: ProgramId, state: ProgramState) {
        add(program, state)
        val tree = trees.getValue(program.root)
        tree.startedAt = minOf(tree.startedAt, clock.now() - state.elapsedMs.milliseconds)
    }

    /** Drops the programs of shards that this VM no longer owns. */
    fun dropIf(isLost: (ProgramId) -> Boolean) {
        programs.keys.removeAll(isLost)
        trees.keys.removeAll(isLost)
        members.keys.removeAll(isLost)
    }

    /** Checks [request] and reserves its budget. */
    fun begin(request: TurnRequest): TurnDecision {
        val entry = programs[request.program]
        val key = request.idempotencyKey?.takeIf { !request.isIdempotent }
        val effect = key?.let { entry?.state?.effects?.get(it) }
        if (key != null && (effect != null || entry?.inFlight?.idempotencyKey == key)) {
            return repeatedEffect(request, effect, entry?.inFlight)
        }
        entry?.let { repeatedTurn(request, it) }?.let { return it }
        val refusal = stateRefusal(request, entry, programs::containsKey) ?: sizeRefusal(request, entry) ?: budgetRefusal(request)
        return if (refusal != null) TurnDecision.Refuse(refusal) else run(request, entry)
    }

    /** Record of the call that may not be repeated, to be durable before its dispatch; null when the ticket is stale. */
    fun intend(ticket: TurnTicket): ProgramRecord.IntentRecorded? {
        val entry = entryOf(ticket) ?: return null
        val key = checkNotNull(ticket.idempotencyKey) { "expected a ticket with an idempotency key, actual none" }
        val record = ProgramRecord.IntentRecorded(ticket.program, ticket.turn, key, ticket.requestDigest)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Ends a turn that is part of the history. The record must be durable before the caller sees the end. */
    fun commit(ticket: TurnTicket, messages: List<Message>, usage: Usage): ProgramRecord.TurnCommitted? {
        val entry = entryOf(ticket) ?: return null
        val record = ProgramRecord.TurnCommitted(
            program = ticket.program,
            turn = ticket.turn,
            messages = messages,
            usage = usage,
            digest = historyDigest(entry.state.digest, messages),
            requestDigest = ticket.requestDigest,
            elapsedMs = elapsedMs(ticket.program),
        )
        // A record that no segment can hold is never acknowledged; the caller ends the turn with release.
        if (!Journal.fits(record)) return null
        settle(ticket)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Ends a call that may not be repeated, after [intend]; null when the ticket is stale. */
    fun recordOutcome(ticket: TurnTicket, outcome: Outcome, reply: EffectReply): ProgramRecord.OutcomeRecorded? {
        val entry = entryOf(ticket) ?: return null
        val key = checkNotNull(ticket.idempotencyKey) { "expected a ticket with an idempotency key, actual none" }
        val isTooLarge = utf8Bytes(reply.body) > limits.keptBodyBytes
        val kept = if (isTooLarge) reply.copy(body = "", isBodyKept = false) else reply
        val elapsed = elapsedMs(ticket.program)
        val record = ProgramRecord.OutcomeRecorded(ticket.program, ticket.turn, key, outcome, kept, elapsed)
        settle(ticket)
        entry.state = entry.state.apply(record)
        return record
    }

    /**
     * Ends a turn that did not become part of the history. With [usedTokens], the call ran and counts against the
     * budget; the record needs no wait. Does nothing when the ticket is stale.
     */
    fun release(ticket: TurnTicket, usedTokens: Long? = null): ProgramRecord.BudgetSpent? {
        val entry = entryOf(ticket) ?: return null
        settle(ticket)
        if (usedTokens == null) return null
        val elapsed = elapsedMs(ticket.program)
        val record = ProgramRecord.BudgetSpent(ticket.program, calls = 1, tokens = usedTokens, elapsedMs = elapsed)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Ends the program; null when it is unknown, ended already or has a call in flight. */
    fun close(program: ProgramId): ProgramRecord.ProgramClosed? {
        val entry = programs[program] ?: return null
        if (entry.state.isClosed || entry.inFlight != null) return null
        val record = ProgramRecord.ProgramClosed(program)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Forgets an ended program. Its name may be used again afterwards. */
    fun forget(program: ProgramId) {
        if (programs[program]?.inFlight != null) return
        programs.remove(program)
        val tree = members[program.root] ?: return
        tree.remove(program)
        if (tree.isEmpty()) {
            members.remove(program.root)
            trees.remove(program.root)
        }
    }

    private fun run(request: TurnRequest, entry: Entry?): TurnDecision.Run {
        var opened: ProgramRecord.ProgramOpened? = null
        val current = entry ?: run {
            val record = ProgramRecord.ProgramOpened(request.program, request.program.parent?.name, request.budget)
            opened = record
            add(request.program, ProgramState().apply(record))
        }
        val ticket = TurnTicket(
            id = nextTicket++,
            program = request.program,
            turn = current.state.nextTurn,
            reservedTokens = request.reservedTokens,
            requestDigest = request.requestDigest,
            idempotencyKey = request.idempotencyKey.takeIf { !request.isIdempotent },
        )
        current.inFlight = ticket
        trees.getValue(request.program.root).reserve(request.reservedTokens)
        return TurnDecision.Run(ticket, opened, current.state)
    }

    private fun add(program: ProgramId, state: ProgramState): Entry {
        trees.getOrPut(program.root) { BudgetTree(startedAt = clock.now()) }
        members.getOrPut(program.root) { HashSet() } += program
        return Entry(state, usedAt = clock.now()).also { programs[program] = it }
    }

    private fun repeatedEffect(request: TurnRequest, known: Effect?, inFlight: TurnTicket?): TurnDecision {
        val isInFlight = inFlight?.idempotencyKey == request.idempotencyKey
        val firstDigest = known?.requestDigest ?: inFlight?.requestDigest
        return when {
            firstDigest != request.requestDigest -> refuse(
                Reason.IDEMPOTENCY_KEY_REUSED,
                "expected the request that first used the key, actual another one",
            )

            isInFlight -> refuse(
                Reason.PROGRAM_BUSY,
                "the call with this idempotency key is in flight",
                Outcome.OUTCOME_UNKNOWN,
            )

            known?.outcome == null -> refuse(
                Reason.INTENT_UNRESOLVED,
                "an earlier attempt was dispatched or about to be, and its outcome is not known",
                Outcome.OUTCOME_UNKNOWN,
            )

            else -> TurnDecision.Replay(known)
        }
    }

    private fun repeatedTurn(request: TurnRequest, entry: Entry): TurnDecision? {
        val inFlight = entry.inFlight
        val last = entry.state.last
        if (!request.isIdempotent || request.turn == null || request.requestDigest.isEmpty()) return null
        return when {
            inFlight != null && inFlight.turn == request.turn && inFlight.requestDigest == request.requestDigest -> refuse(
                Reason.PROGRAM_BUSY,
                "the same request for turn ${request.turn} is in flight",
                Outcome.OUTCOME_UNKNOWN,
            )

            last != null && last.turn == request.turn && last.requestDigest == request.requestDigest ->
                entry.state.messages.lastOrNull()?.let { TurnDecision.ReplayTurn(last, it, entry.state.digest) }

            else -> null
        }
    }

    private fun sizeRefusal(request: TurnRequest, entry: Entry?): Refusal? {
        val added = request.newMessages.sumOf { it.content.length.toLong() }
        val addedBytes = request.newMessages.sumOf { utf8Bytes(it.content).toLong() }
        val total = (entry?.state?.chars ?: 0) + added
        return when {
            total > limits.historyChars -> Refusal(
                Reason.HISTORY_TOO_LARGE,
                "expected a history of at most ${limits.historyChars} characters, actual $total",
            )

            addedBytes > limits.turnBytes -> Refusal(
                Reason.HISTORY_TOO_LARGE,
                "expected at most ${limits.turnBytes} bytes of new messages, actual $addedBytes",
            )

            else -> null
        }
    }

    private fun budgetRefusal(request: TurnRequest): Refusal? {
        val root = request.program.root
        val tree = trees[root] ?: BudgetTree(startedAt = clock.now())
        val budget = programs[root]?.state?.budget ?: request.budget
        val states = members[root].orEmpty().mapNotNull { programs[it]?.state }
        val spent = Spent(states.sumOf { it.calls }, states.sumOf { it.tokens })
        return tree.refusal(budget, spent, request.reservedTokens, clock.now())
    }

    private fun settle(ticket: TurnTicket) {
        trees.getValue(ticket.program.root).settle(ticket.reservedTokens)
        val entry = programs.getValue(ticket.program)
        entry.inFlight = null
        entry.usedAt = clock.now()
    }

    private fun elapsedMs(program: ProgramId): Long =
        (clock.now() - trees.getValue(program.root).startedAt).inWholeMilliseconds

    private fun entryOf(ticket: TurnTicket): Entry? = programs[ticket.program]?.takeIf { it.inFlight == ticket }

    private fun refuse(reason: Reason, detail: String, outcome: Outcome = Outcome.REFUSED_NOT_RUN) =
        TurnDecision.Refuse(Refusal(reason, detail, outcome))

    internal class Entry(var state: ProgramState, var usedAt: Duration, var inFlight: TurnTicket? = null)
}

/**
 * Limits of what a program may hold.
 *
 * @property historyChars characters of a whole history.
 * @property turnBytes UTF-8 bytes of the messages that one request adds.
 * @property keptBodyBytes UTF-8 bytes of an answer that is kept for repeated calls.
 */
data class HistoryLimits(
    val historyChars: Long = 2_000_000,
    val turnBytes: Long = 400_000,
    val keptBodyBytes: Int = 65_536,
)

/** Why the program's state doesn't allow [request], or null. */
private fun stateRefusal(request: TurnRequest, entry: ProgramBook.Entry?, isKept: (ProgramId) -> Boolean): Refusal? {
    val state = entry?.state
    val expectedTurn = state?.nextTurn ?: 1
    val parent = request.program.parent
    val digest = state?.digest ?: EMPTY_HISTORY_DIGEST
    return when {
        state == null && (request.turn ?: 1) != 1 -> Refusal(
            Reason.UNKNOWN_PROGRAM,
            "expected turn 1 of a new program, actual ${request.turn}",
        )

        parent != null && !isKept(parent) -> Refusal(Reason.UNKNOWN_PROGRAM, "no parent program ${parent.name}")
        state?.isClosed == true -> Refusal(Reason.PROGRAM_CLOSED, "the program has ended")
        entry?.inFlight != null -> Refusal(Reason.PROGRAM_BUSY, "turn ${entry.inFlight?.turn} is in flight")
        request.turn != null && request.turn != expectedTurn -> Refusal(
            Reason.WRONG_TURN,
            "expected turn $expectedTurn, actual ${request.turn}",
        )

        request.historyDigest != null && request.historyDigest != digest ->
            Refusal(Reason.HISTORY_MISMATCH, "expected digest $digest, actual ${request.historyDigest}")

        !request.isIdempotent && request.idempotencyKey == null -> Refusal(
            Reason.IDEMPOTENCY_KEY_MISSING,
            "expected an Idempotency-Key header, actual none",
        )

        else -> null
    }
}
