package io.jasmineford.gateway.load

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Logs the state of a [PressureGate] when an overload begins, ends, and at most once a second in between. */
internal class OverloadLog(
    private val clock: MonotonicClock,
    private val meter: LoopLagMeter,
    private val gate: PressureGate,
    private val log: EventLog,
) {
    private var wasOverloaded = false
    private var loggedAt = -Duration.INFINITE
    private var logged: Map<ShedReason, Long> = emptyMap()

    /** Logs a line if one is due; called by the loop's periodic timer after [PressureGate.onTick]. */
    fun onTick() {
        val isDue = gate.isOverloaded && clock.now() - loggedAt >= PERIOD
        if (!isDue && gate.isOverloaded == wasOverloaded) return
        wasOverloaded = gate.isOverloaded
        loggedAt = clock.now()
        val shed = gate.shedCounts
        log.event(
            if (gate.isOverloaded) "overload" else "overload-ended",
            "lag_ms" to meter.lag.inWholeMilliseconds,
            "taken_per_second" to gate.takenRate.toLong().takeIf { gate.isOverloaded },
            "offered_per_second" to gate.offeredRate.toLong(),
            "shed" to ShedReason.entries.joinToString(",") { "${it.name}:${(shed[it] ?: 0) - (logged[it] ?: 0)}" },
            "cpu_us_per_call" to meter.cpuPerCall.inWholeMicroseconds,
        )
        logged = shed
    }

    private companion object {
        val PERIOD = 1.seconds
    }
}
