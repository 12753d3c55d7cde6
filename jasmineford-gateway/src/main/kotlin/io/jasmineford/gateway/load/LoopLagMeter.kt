package io.jasmineford.gateway.load

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Measures how late the event loop runs a periodic timer, and the loop's CPU time per call.
 *
 * The loop reads all sockets that are ready and runs due timers once in each iteration, so the lag is about the length
 * of an iteration, and about the time for which a request waits in its socket before it is read.
 *
 * @param period time from the end of one run of the timer to the next one.
 * @param cpuTime CPU time used by the event loop's thread; null where it is unknown.
 */
class LoopLagMeter(
    private val clock: MonotonicClock,
    private val period: Duration,
    private val cpuTime: () -> Duration? = { null },
) {
    private var dueAt: Duration? = null
    private var latestLag = Duration.ZERO
    private var sampledAt = clock.now()
    private var sampledCpu: Duration? = null
    private var calls = 0
    private var cpuOfCalls = Duration.ZERO

    /** Time by which the next run of the timer is overdue; not positive before it is due. */
    val overdue: Duration get() = dueAt?.let { clock.now() - it } ?: Duration.ZERO

    /** Lag of the latest run of the timer, or the time by which the next one is overdue if that is longer. */
    val lag: Duration get() = maxOf(latestLag, overdue)

    /**
     * Whether the loop used hardly any CPU time while it lagged: the process was stopped or paused rather than loaded,
     * and catches up by itself.
     */
    var isStalled: Boolean = false
        private set

    /** Smoothed CPU time of the event loop per call, all other work of the loop included; zero while unknown. */
    var cpuPerCall: Duration = Duration.ZERO
        private set

    /** Counts a call that is read from a caller's connection. */
    fun recordCall() {
        calls++
    }

    /** Records that the timer runs now; it runs next one period later. */
    fun onTimer() {
        val now = clock.now()
        latestLag = (now - (dueAt ?: now)).coerceAtLeast(Duration.ZERO)
        dueAt = now + period
        if (latestLag >= MIN_SAMPLED_LAG || now - sampledAt >= SAMPLE_PERIOD) sample(now)
    }

    private fun sample(now: Duration) {
        val cpu = cpuTime()
        val before = sampledCpu
        sampledCpu = cpu
        sampledAt = now
        if (cpu == null || before == null) {
            isStalled = false
            return
        }
        val used = cpu - before
        isStalled = latestLag >= MIN_SAMPLED_LAG && used < latestLag * STALL_CPU_FRACTION
        cpuOfCalls += used
        if (calls >= MIN_CALLS) {
            val mean = cpuOfCalls / calls
            cpuPerCall = if (cpuPerCall == Duration.ZERO) mean else cpuPerCall + (mean - cpuPerCall) * WEIGHT
            calls = 0
            cpuOfCalls = Duration.ZERO
        }
    }

    private companion object {
        /** CPU time is read at most this often while the loop is on time, as each read takes three system calls. */
        val SAMPLE_PERIOD = 1.seconds

        /** Lag from which the CPU time is read at each run of the timer. */
        val MIN_SAMPLED_LAG = 50.milliseconds

        /** The smallest machines get 0.27 of a core, so a busy loop uses clearly more than this part of its lag. */
        const val STALL_CPU_FRACTION = 0.1

        /** Fewer calls say little about the time per call, as timers and heartbeats have a large part in it. */
        const val MIN_CALLS = 10
        const val WEIGHT = 0.3
    }
}
