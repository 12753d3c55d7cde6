package io.jasmineford.bench.fleet

import io.jasmineford.standin.engine.EngineJob
import io.jasmineford.standin.engine.EngineSignal
import io.jasmineford.standin.engine.FakeEngine
import kotlin.time.Duration

/** Advances one engine in virtual time and passes each signal to the listener of its request. */
class EngineRunner(
    private val time: VirtualTime,
    private val engine: FakeEngine,
) {
    private val listeners = HashMap<Long, (EngineSignal) -> Unit>()
    private var wakeAt = Duration.INFINITE

    /** Sends [job] to the engine; [onSignal] receives its signals. */
    fun submit(job: EngineJob, onSignal: (EngineSignal) -> Unit) {
        advance()
        listeners[job.id] = onSignal
        engine.submit(time.now, job)
        scheduleWake()
    }

    private fun advance() {
        for (signal in engine.advance(time.now)) {
            val isLast = signal !is EngineSignal.FirstToken
            val listener = if (isLast) listeners.remove(signal.job) else listeners[signal.job]
            if (listener != null) time.after(Duration.ZERO) { listener(signal) }
        }
    }

    private fun scheduleWake() {
        val next = maxOf(engine.nextEventAt(), time.now)
        if (next.isInfinite() || next >= wakeAt) return
        wakeAt = next
        time.at(next) {
            if (wakeAt == next) wakeAt = Duration.INFINITE
            advance()
            scheduleWake()
        }
    }
}
