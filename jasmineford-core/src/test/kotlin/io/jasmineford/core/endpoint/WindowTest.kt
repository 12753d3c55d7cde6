package io.jasmineford.core.endpoint

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.standin.engine.EngineJob
import io.jasmineford.standin.engine.EngineProfile
import io.jasmineford.standin.engine.EnginePrompt
import io.jasmineford.standin.engine.EngineSignal
import io.jasmineford.standin.engine.FakeEngine
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WindowTest {
    /**
     * Guards against overloading a cold endpoint until it crashes. Six VMs send at the same time, messages are lost,
     * delayed and repeated, VMs pause with calls in flight, and the owner changes without a hand-over.
     */
    @Test
    fun `a cold endpoint never has more requests in flight than its window`() {
        var answers = 0
        for (seed in 1L..60L) {
            val simulation = WindowSimulation(seed)
            simulation.run(40.seconds)
            assertEquals(0, simulation.engine.crashes, "seed $seed: expected no crash of the endpoint")
            answers += simulation.answers
        }
        assertTrue(answers > 60 * 50, "expected the growing window to be used, actual $answers answers in 60 runs")
    }

    /** Guards against late detection of an endpoint that suddenly became cold. */
    @Test
    fun `a suddenly cold endpoint is detected within three answers and a steady endpoint keeps its window`() {
        for (seed in 1L..50L) {
            val random = Random(seed)
            val window = EndpointWindow(WindowSettings(), max = 16)
            fun sample(factor: Double): AnswerSample {
                val uncached = random.nextLong(100, 2_000)
                val noise = random.nextDouble(0.7, 1.4)
                return AnswerSample((10.milliseconds + 0.05.milliseconds * uncached.toDouble()) * factor * noise, 14.milliseconds * factor * noise, uncached)
            }
            repeat(400) { window.answered(sample(1.0)) }
            assertEquals(16, window.size, "seed $seed: expected the full window at a steady endpoint")
            repeat(WindowSettings().coldAfterAnswers) { window.answered(sample(5.0)) }
            assertEquals(2, window.size, "seed $seed: expected the cold window after three slow answers")
        }
    }
}

/** Simulation of six VMs, successive window owners and one cold engine, in steps of 5 ms. */
private class WindowSimulation(private val seed: Long) {
    private val settings = WindowSettings(maxCallDuration = 10.seconds)
    private val random = Random(seed)
    private val clock = VirtualClock()
    val engine = FakeEngine("e", EngineProfile(reportLag = 1.seconds), Random(seed), isCold = true)
    private val borrowers = List(6) { WindowBorrower(settings) }
    private val pausedUntil = Array(6) { Duration.ZERO }
    private val messages = mutableListOf<Pair<Duration, () -> Unit>>()
    private val running = HashMap<Long, Triple<Int, Int, Long>>()
    private var ownerNumber = 0
    private var owner = WindowOwner(settings, max = 16, startedAt = Duration.ZERO)
    private val longEvery = if (seed % 2 == 0L) 10 else 3
    private var leaseValidUntil = random.nextInt(500, 18_000).milliseconds
    private var nextJob = 0L
    var answers = 0

    fun run(length: Duration) {
        while (clock.now() < length) {
            clock.advance(5.milliseconds)
            deliver()
            engine.advance(clock.now()).forEach(::take)
            if (clock.now().inWholeMilliseconds % 500 == 0L) {
                owner.loadReported(clock.now(), engine.loadReport(clock.now()).let { it.running + it.waiting })
            }
            if (clock.now() >= leaseValidUntil) changeOwner()
            borrowers.indices.filter { clock.now() >= pausedUntil[it] }.forEach(::act)
            if (random.nextInt(2_000) == 0) pausedUntil[random.nextInt(6)] = clock.now() + random.nextInt(8).seconds
        }
    }

    /** Replaces the owner without a hand-over after its lease has expired. The VMs learn of it at different times. */
    private fun changeOwner() {
        ownerNumber++
        owner = WindowOwner(settings, max = 16, startedAt = clock.now(), firstId = ownerNumber * IDS_PER_OWNER)
        leaseValidUntil = clock.now() + random.nextInt(6_000, 18_000).milliseconds
        borrowers.forEach { borrower -> post { borrower.ownerChanged() } }
    }

    private fun act(vm: Int) {
        val borrower = borrowers[vm]
        while (true) {
            val slice = borrower.take(clock.now()) ?: break
            val id = nextJob++
            running[id] = Triple(vm, ownerNumber, slice)
            // The request reaches the endpoint after a delay.
            val currentOwner = owner.takeIf { slice / IDS_PER_OWNER == ownerNumber.toLong() }
            messages += clock.now() + random.nextInt(30).milliseconds to { submit(id, currentOwner) }
        }
        borrower.poll(clock.now(), waiting = 5).forEach { message -> send(vm, borrower, message, ownerNumber) }
    }

    private fun submit(id: Long, currentOwner: WindowOwner?) {
        engine.submit(clock.now(), job(id))
        val size = currentOwner?.window?.size ?: return
        assertTrue(engine.inFlight <= size, "seed $seed: ${engine.inFlight} in flight, window $size at ${clock.now()}")
    }

    private fun send(vm: Int, borrower: WindowBorrower, message: WindowMessage, sentTo: Int) = post {
        if (sentTo != ownerNumber) return@post
        val now = clock.now()
        when (message) {
            is WindowMessage.Borrow -> {
                val grant = owner.borrow(now, "vm$vm", message.slots, leaseValidUntil - now)
                post { if (sentTo == ownerNumber) borrower.granted(clock.now(), message.number, grant) }
            }

            is WindowMessage.Extend -> {
                val slice = owner.extend(now, message.slice, leaseValidUntil - now)
                post { borrower.extended(message.slice, slice?.validity) }
            }

            is WindowMessage.Return -> {
                owner.returnSlice(now, message.slice)
                post { borrower.returned(message.slice) }
            }
        }
    }

    /** Delivers [action] after up to 20 ms, occasionally later or never. */
    private fun post(action: () -> Unit) {
        if (random.nextInt(20) == 0) return
        val delay = if (random.nextInt(50) == 0) random.nextInt(2_000) else random.nextInt(20)
        messages += clock.now() + delay.milliseconds to action
    }

    private fun deliver() {
        val due = messages.filter { it.first <= clock.now() }
        messages.removeAll(due)
        due.forEach { it.second() }
    }

    private fun take(signal: EngineSignal) {
        if (signal is EngineSignal.FirstToken) return
        val (vm, _, slice) = running.remove(signal.job) ?: return
        answers++
        owner.answered(AnswerSample(100.milliseconds, isFailed = signal is EngineSignal.Failed))
        borrowers[vm].release(clock.now(), slice)
    }

    private fun job(id: Long) = EngineJob(id, EnginePrompt(ownTokens = 50), outputTokens = if (id % longEvery == 0L) 400 else random.nextInt(5, 100))

    private companion object {
        /** Range of slice ids of one owner. */
        const val IDS_PER_OWNER = 1_000_000L
    }
}
