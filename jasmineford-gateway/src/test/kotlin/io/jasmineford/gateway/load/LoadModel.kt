package io.jasmineford.gateway.load

import io.jasmineford.core.time.VirtualClock
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller's call in a [LoadModel]: up to [maxTries] tries, the first at [at]. */
internal class ModelCall(
    val at: Duration,
    val account: String,
    val shedClass: ShedClass,
    val maxTries: Int,
    val timeout: Duration = 2.seconds,
) {
    var tries = 0
    var sheds = 0
    var isAnswered = false
}

/**
 * Daemon whose processor serves [callsPerSecond], half of a call's work on its arrival and half on the response of its
 * endpoint; a rejection takes [rejectionCost] of a call. It works on one iteration of its event loop at a time, as the
 * real one does. Callers repeat a call once or twice: after a
 * rejection within its timeout, after the timeout with a new one.
 *
 * @param isGated whether calls are shed while the loop lags.
 * @param costFactor work of a call relative to the usual one, by the number of calls taken before.
 */
internal class LoadModel(
    private val callsPerSecond: Double,
    private val isGated: Boolean,
    seed: Int,
    private val endpointTime: (Duration) -> Duration = { 100.milliseconds },
    private val costFactor: (Int) -> Double = { 1.0 },
    val rejectionCost: Double = REJECTION_COST,
) {
    private class Event(val at: Duration, val order: Int, val run: () -> Unit)

    val clock = VirtualClock()
    private val meter = LoopLagMeter(clock, TICK)
    val gate = PressureGate(clock, meter)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val random = Random(seed)
    private var order = 0
    private var dueAt = TICK
    private var taken = 0
    val calls = ArrayList<ModelCall>()
    var sheds = 0

    /** Adds calls of [account] that arrive at random from [from] to [until] at the rate of [perSecond]. */
    fun arrivals(
        from: Duration,
        until: Duration,
        perSecond: Double,
        account: String = "club",
        shedClass: ShedClass = ShedClass.SINGLE,
    ) = repeat(((until - from) / 1.seconds * perSecond).toInt()) {
        val at = from + (until - from) * random.nextDouble()
        val call = ModelCall(at, account, shedClass, maxTries = 2 + calls.size % 2)
        calls += call
        at(call.at) { receive(call, call.at + call.timeout) }
    }

    fun run(until: Duration) {
        while (clock.now() < until) {
            val batch = generateSequence { events.poll().takeIf { events.peekedBefore(it) } }.toList()
            batch.forEach { it.run() }
            if (clock.now() >= dueAt) tick()
            val next = minOf(events.peek()?.at ?: until, dueAt, until)
            if (next > clock.now()) clock.advance(next - clock.now())
        }
    }

    private fun PriorityQueue<Event>.peekedBefore(event: Event?): Boolean {
        if (event != null && event.at > clock.now()) add(event)
        return event != null && event.at <= clock.now()
    }

    private fun at(time: Duration, action: () -> Unit) {
        events.add(Event(time, order++, action))
    }

    private fun tick() {
        meter.onTimer()
        gate.onTick()
        dueAt = clock.now() + TICK
    }

    private fun work(parts: Double) = clock.advance((parts / callsPerSecond).seconds)

    private fun receive(call: ModelCall, expiresAt: Duration) {
        call.tries++
        val request = PressureRequest(call.account, call.shedClass, expiresAt - clock.now() + gate.requestAge)
        val shed = if (isGated && gate.isShedding()) gate.decide(request) else null
        if (shed == null) {
            take(call, expiresAt)
        } else {
            sheds++
            call.sheds++
            work(rejectionCost)
            val left = expiresAt - clock.now()
            if (left > Duration.ZERO) retry(call, clock.now() + minOf(shed.retryAfter, left / 3), expiresAt)
        }
    }

    private fun take(call: ModelCall, expiresAt: Duration) {
        val half = costFactor(taken++) / 2
        work(half)
        // The loop's timer ends a call at its deadline; the endpoint's work is then cancelled.
        if (clock.now() > expiresAt) {
            retry(call, clock.now())
            return
        }
        at(clock.now() + endpointTime(clock.now())) {
            work(half)
            if (clock.now() <= expiresAt) call.isAnswered = true else retry(call, clock.now())
        }
    }

    private fun retry(call: ModelCall, time: Duration, expiresAt: Duration = time + call.timeout) {
        if (call.tries < call.maxTries) at(time) { receive(call, expiresAt) }
    }

    companion object {
        /** Ratio of CPU times over kept connections, measured with the soak's `RejectionCost`; see overload.md. */
        const val REJECTION_COST = 0.11
        val TICK = 50.milliseconds
    }
}
