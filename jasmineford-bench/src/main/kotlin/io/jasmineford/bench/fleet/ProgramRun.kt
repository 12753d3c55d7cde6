package io.jasmineford.bench.fleet

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.standin.engine.EngineJob
import io.jasmineford.standin.engine.EnginePrompt
import io.jasmineford.standin.engine.EngineSignal
import kotlin.random.Random
import kotlin.time.Duration

/** A program in progress: runs its turns one after another, with tool pauses in between. */
internal class ProgramRun(
    private val fleet: FleetRun,
    private val account: Int,
    private val random: Random,
) {
    private val time = fleet.time
    private val shape = fleet.shape
    private val id = ProgramId(ScopedName(FleetRun.ORGANISATION, "account-$account"), "p${random.nextLong().toULong()}")
    private val turns = random.nextInt(shape.turns.first, shape.turns.last + 1)
    private val zone = shape.zones.random(random)
    private val owner = fleet.ownerOf(id)
    private val startedAt = time.now
    private var historyTokens = 0
    private var pauses = Duration.ZERO

    /** Starts the first turn. */
    fun start() = turn(1)

    private fun turn(number: Int) {
        val entry = fleet.entryOf(id, zone)
        val sentAt = time.now
        val toOwner = if (entry == owner) Duration.ZERO else fleet.delay(entry.zone, owner.zone)
        time.after(shape.clientDelay) {
            fleet.admit(entry, account) {
                time.after(toOwner) { begin(TurnRun(number, sentAt, answerDelay = toOwner + shape.clientDelay)) }
            }
        }
    }

    private fun begin(turn: TurnRun) {
        val reserved = (historyTokens + turn.prompt + turn.output).toLong()
        val decision = owner.registry.begin(TurnRequest(id, turn.number, reservedTokens = reserved))
        check(decision is TurnDecision.Run) { "expected turn ${turn.number} of $id to run, actual $decision" }
        fleet.queued[account]++
        val call = QueuedCall(
            id = 0,
            account = id.account,
            deployment = fleet.deployment,
            program = id,
            promptTokens = (historyTokens + turn.prompt).toLong(),
            submittedAt = time.now,
        )
        turn.call = owner.submit(call) { endpoint ->
            fleet.queued[account]--
            fleet.recordDispatch(endpoint)
            dispatch(turn, decision, endpoint)
        }
    }

    private fun dispatch(turn: TurnRun, decision: TurnDecision.Run, endpoint: Endpoint) {
        val prompt = EnginePrompt(program = id.name, ownTokens = historyTokens + turn.prompt)
        val job = EngineJob(id = random.nextLong(), prompt = prompt, outputTokens = turn.output)
        val delay = fleet.delay(owner.zone, endpoint.zone)
        time.after(delay) {
            fleet.engines.getValue(endpoint.address).submit(job) { signal ->
                time.after(delay) { onSignal(turn, decision, signal) }
            }
        }
    }

    private fun onSignal(turn: TurnRun, decision: TurnDecision.Run, signal: EngineSignal) {
        when (signal) {
            is EngineSignal.FirstToken -> {
                turn.firstTokenAt = time.now + turn.answerDelay
                owner.firstToken(turn.call)
            }

            is EngineSignal.Completed -> {
                val usage = Usage((historyTokens + turn.prompt).toLong(), turn.output.toLong(), signal.cachedTokens.toLong())
                owner.finished(turn.call, usage)
                commit(turn, decision, usage)
            }

            is EngineSignal.Failed -> error("expected no failure in a run without faults, actual $signal")
        }
    }

    private fun commit(turn: TurnRun, decision: TurnDecision.Run, usage: Usage) {
        val record = owner.registry.commit(decision.ticket, listOf(Message("assistant", "turn ${turn.number}")), usage)
        checkNotNull(record) { "expected the answer to fit into the history, actual history is too large" }
        owner.append(listOfNotNull(decision.opened, record)) {
            time.after(turn.answerDelay) { ended(turn, usage.cached.toInt()) }
        }
    }

    private fun ended(turn: TurnRun, cached: Int) {
        fleet.record.turns += TurnSample(
            account = account,
            startedAt = turn.sentAt,
            endedAt = time.now,
            firstTokenAfter = turn.firstTokenAt - turn.sentAt,
            promptTokens = historyTokens + turn.prompt,
            historyTokens = historyTokens,
            cachedTokens = cached,
            outputTokens = turn.output,
        )
        historyTokens += turn.prompt + turn.output
        if (turn.number == turns) {
            fleet.record.programs += ProgramSample(account, startedAt, time.now, pauses)
            return
        }
        val pause = shape.toolPause * -kotlin.math.ln(1 - random.nextDouble())
        pauses += pause
        time.after(pause) { turn(turn.number + 1) }
    }

    private inner class TurnRun(val number: Int, val sentAt: Duration, val answerDelay: Duration) {
        val prompt = random.nextInt(shape.promptTokens.first, shape.promptTokens.last + 1)
        val output = random.nextInt(shape.outputTokens.first, shape.outputTokens.last + 1)
        var call = 0L
        var firstTokenAt = Duration.ZERO
    }
}
