package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/**
 * Programs of the shards that this VM owns. Enforces the order of turns, history limits and budgets.
 *
 * A turn starts with [begin] and ends with [commit], [recordOutcome] or [release]. A ticket is stale once its program
 * was removed or restored in between; [commit], [recordOutcome] and [release] then return null and change nothing.
 */
class ProgramRegistry(
    private val clock: MonotonicClock,
    private val limits: HistoryLimits = HistoryLimits(),
) {
    private val programs = HashMap<ProgramId, Entry>()
    private val trees = HashMap<ProgramId, TreeBudget>()
    private val members = HashMap<ProgramId, MutableSet<ProgramId>>()
    private var nextTicket = 1L

    /** Number of programs. */
    val size: Int get() = programs.size

    /** State of [program], or null when it is unknown. */
    fun state(program: ProgramId): ProgramState? = programs[program]?.state

    /** States of all programs. */
    fun states(): Map<ProgramId, ProgramState> = programs.mapValues { it.value.state }

    /** Whether the turn of [ticket] is in flight; false for a stale ticket. */
    fun isInFlight(ticket: TurnTicket): Boolean = entryOf(ticket) != null

    /**
     * Whether engines may evict the KV cache of [program]: it is unknown, or it has no call in flight and is closed or
     * has been idle for at least [idle].
     */
    fun isEvictable(program: ProgramId, idle: Duration): Boolean {
        val entry = programs[program] ?: return true
        return entry.inFlight == null && (entry.state.isClosed || clock.now() - entry.usedAt >= idle)
    }

    /** Adds a program restored from a replayed journal. */
    fun restore(program: ProgramId, state: ProgramState) {
        add(program, state)
        val tree = trees.getValue(program.root)
        tree.startedAt = minOf(tree.startedAt, clock.now() - state.elapsedMs.milliseconds)
    }

    /** Removes the programs for which [isLost] is true. */
    fun removeIf(isLost: (ProgramId) -> Boolean) {
        programs.keys.removeAll(isLost)
        trees.keys.removeAll(isLost)
        members.keys.removeAll(isLost)
    }

    /** Checks [request] and, if its turn may run, reserves the budget for it. */
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

    /**
     * Returns the intent of a non-idempotent call, to be durable before its dispatch; null when the ticket is stale.
     */
    fun recordIntent(ticket: TurnTicket): ProgramRecord.IntentRecorded? {
        val entry = entryOf(ticket) ?: return null
        val key = checkNotNull(ticket.idempotencyKey) { "expected a ticket with an idempotency key, actual none" }
        val record = ProgramRecord.IntentRecorded(ticket.program, ticket.turn, key, ticket.requestDigest)
        entry.state = entry.state.apply(record)
        return record
    }

    /**
     * Ends a turn by adding [messages] to the history; null when the ticket is stale or the record is too large for the
     * journal. The record must be durable before the caller gets the end of the answer.
     */
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
        // A record too large for a segment can never become durable; the turn must then be ended with release.
        if (!Journal.fits(record)) return null
        settle(ticket)
        entry.state = entry.state.apply(record)
        return record
    }

    /** Ends a non-idempotent call after [recordIntent]; null when the ticket is stale. */
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
     * Ends a turn that does not become part of the history. [usedTokens] is not null if the call ran and counts against
     * the budget; the returned record need not be durable before the caller is answered. Does nothing when the ticket
     * is stale.
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

    /** Closes the program; null when it is unknown, already closed or has a call in flight. */
    fun close(program: ProgramId): ProgramRecord.ProgramClosed? {
        val entry = programs[program] ?: return null
        if (entry.state.isClosed || entry.inFlight != null) return null
        val record = ProgramRecord.ProgramClosed(program)
        entry.state = entry.state.apply(record)
        return record
    }

    /**
     * Removes trees whose programs have all passed their [retention]; their names may be used again. A tree is only
     * removed as a whole, since its budget is shared by all its programs.
     */
    fun removeExpired(retention: Retention = Retention()) {
        val ended = members.filterValues { tree -> tree.all { isExpired(programs.getValue(it), retention) } }
        for ((root, tree) in ended) {
            programs.keys.removeAll(tree)
            trees.remove(root)
            members.remove(root)
        }
    }

    /**
     * Programs with only non-idempotent calls have no history and are never closed by the caller, so they count as
     * ended.
     */
    private fun isExpired(entry: Entry, retention: Retention): Boolean {
        val isEnded = entry.state.isClosed || entry.state.chars == 0L
        val kept = if (entry.state.effects.isEmpty()) retention.ended else retention.effects
        return isEnded && entry.inFlight == null && clock.now() - entry.usedAt >= kept
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
        trees.getOrPut(program.root) { TreeBudget(startedAt = clock.now()) }
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
        val tree = trees[root] ?: TreeBudget(startedAt = clock.now())
        val budget = programs[root]?.state?.budget ?: request.budget
        val states = members[root].orEmpty().mapNotNull { programs[it]?.state }
        val settled = SettledUsage(states.sumOf { it.calls }, states.sumOf { it.tokens })
        return tree.refusal(budget, settled, request.reservedTokens, clock.now())
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
 * Size limits of a program.
 *
 * @property historyChars characters of the whole history.
 * @property turnBytes UTF-8 bytes of the messages that one request adds.
 * @property keptBodyBytes UTF-8 bytes of an answer body that is kept for repeats of a non-idempotent call.
 */
data class HistoryLimits(
    val historyChars: Long = 2_000_000,
    val turnBytes: Long = 400_000,
    val keptBodyBytes: Int = 65_536,
)

/**
 * Retention of ended programs.
 *
 * @property ended for programs without non-idempotent calls.
 * @property effects for programs with non-idempotent calls. A repeat after this time would run again, so it must exceed
 *   the time for which callers retry.
 */
data class Retention(
    val ended: Duration = 1.hours,
    val effects: Duration = 24.hours,
)

/** Reason why the program's state does not allow [request], or null. */
private fun stateRefusal(
    request: TurnRequest,
    entry: ProgramRegistry.Entry?,
    isKept: (ProgramId) -> Boolean,
): Refusal? {
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
