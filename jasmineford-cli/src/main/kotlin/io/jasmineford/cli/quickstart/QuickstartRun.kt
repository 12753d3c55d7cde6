package io.jasmineford.cli.quickstart

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.measureTimedValue

/**
 * Runs the steps of the quickstart.
 *
 * @param release text of the release note to publish.
 * @param onStep receives one line for each step.
 */
internal class QuickstartRun(
    private val release: String,
    private val onStep: (String) -> Unit,
) {
    private val report = QuickstartReport()
    private val start = TimeSource.Monotonic.markNow()

    /** Runs all steps in order and returns the results. */
    suspend fun run(): QuickstartReport = QuickstartFleet().use { fleet ->
        step("starting the platform, two engines, one service and three entry daemons")
        fleet.start()
        publish(fleet)
        awaitReady(fleet)
        QuickstartClient(key = "league-example-key").use { client -> runProgram(fleet, client) }
        report
    }

    private suspend fun publish(fleet: QuickstartFleet) {
        step("publishing the release note")
        val (engineA, engineB, service) = fleet.endpointPorts
        val note = release.replace(":9101", ":$engineA").replace(":9102", ":$engineB").replace(":9201", ":$service")
        val operator = fleet.daemons.first().identity.operatorAddress
        val reply = HttpClient(CIO).use { http -> http.post("http://$operator/release") { setBody(note) }.bodyAsText() }
        step("release: $reply")
    }

    private suspend fun awaitReady(fleet: QuickstartFleet) {
        step("waiting until all three daemons are ready")
        while (!fleet.daemons.all { it.daemon.isReady() && it.daemon.generation() > 0 }) delay(POLL)
    }

    private suspend fun runProgram(fleet: QuickstartFleet, client: QuickstartClient) {
        turn(fleet, client, "fixture-17", 1, "Propose three dates for the match.")
        turn(fleet, client, "fixture-17", 2, "The hall is closed on Friday.")
        step("tool pause of 300 ms")
        delay(TOOL_PAUSE)
        coroutineScope {
            val subAgent = async { turn(fleet, client, "fixture-17/referee", 1, "Find a free referee.") }
            turn(fleet, client, "fixture-17", 3, "Offer Saturday instead.")
            subAgent.await()
        }
        swapLadder(fleet, client)
        val victim = fleet.ownerOf("fixture-17", client)
        step("killing daemon ${victim.identity.vm}, which owns the program")
        fleet.kill(victim)
        turn(fleet, client, "fixture-17", LAST_TURN - 1, "Confirm with the other captain.")
        swapLadder(fleet, client)
        turn(fleet, client, "fixture-17", LAST_TURN, "Summarise what was agreed.")
        checkEffects(fleet)
    }

    private suspend fun turn(fleet: QuickstartFleet, client: QuickstartClient, program: String, turn: Int, text: String) {
        val (result, took) = measureTimedValue {
            retrying(fleet) { address -> client.turn(address, program, turn, text) }
        }
        step("$program turn $turn through ${result.vm}: ${result.outcome}, ${took.inWholeMilliseconds} ms")
        report.add(result, took, text)
    }

    private suspend fun swapLadder(fleet: QuickstartFleet, client: QuickstartClient) {
        val reply = retrying(fleet) { address ->
            client.post(address, "ladder/swap", "fixture-17-swap", "swap-17", """{"up":"A","down":"B"}""")
        }
        step("ladder swap with idempotency key swap-17: $reply")
    }

    private suspend fun checkEffects(fleet: QuickstartFleet) {
        val effects = fleet.service.effects().size
        if (effects != 1) report.violations += "expected the ladder swap to run once, actual $effects times"
    }

    private suspend fun QuickstartFleet.ownerOf(program: String, client: QuickstartClient): RunningDaemon {
        val best = client.addresses(daemons.first().identity.callerAddress, program).addresses.first()
        return daemons.first { it.identity.callerAddress == best }
    }

    /** Repeats [call] at randomly chosen daemons until one returns a result. [call] must be safe to repeat. */
    private suspend fun <T> retrying(fleet: QuickstartFleet, call: suspend (String) -> T): T {
        val deadline = TimeSource.Monotonic.markNow() + RETRY_TIMEOUT
        while (true) {
            val address = fleet.daemons.random(random).identity.callerAddress
            try {
                return call(address)
            } catch (e: CallFailure) {
                report.addRefusal(e.reason)
                if (deadline.hasPassedNow()) throw e
            } catch (e: IOException) {
                if (deadline.hasPassedNow()) throw e
            }
            delay(POLL)
        }
    }

    private fun step(text: String) = onStep("[${start.elapsedNow().inWholeMilliseconds.toString().padStart(TIME_WIDTH)} ms] $text")

    private companion object {
        val random = kotlin.random.Random(seed = 17)
        val POLL = 50.milliseconds
        val TOOL_PAUSE = 300.milliseconds
        val RETRY_TIMEOUT = 20.seconds
        const val LAST_TURN = 5
        const val TIME_WIDTH = 6
    }
}
