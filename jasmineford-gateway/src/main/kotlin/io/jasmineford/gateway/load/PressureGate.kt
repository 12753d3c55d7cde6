package io.jasmineford.gateway.load

import io.jasmineford.core.time.MonotonicClock
import java.util.EnumMap
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Admission control by the event loop's lag: sheds calls before any expensive work while the loop can't keep up.
 *
 * The daemon is overloaded from the time when its loop has lagged for [STANDING_TIME]. From then on calls are taken at
 * a rate that keeps the lag near [TARGET_LAG]. Calls that can't be answered in time are shed, then programs that start,
 * then single calls, and calls of programs under way only when these alone exceed the rate. Accounts get max-min fair
 * shares. While the loop is on time, nothing is shed and no state is kept.
 */
class PressureGate(private val clock: MonotonicClock, private val meter: LoopLagMeter) {
    private val accounts = AccountLoads()
    private val retryTimes = RetryTimes()
    private var lateSince: Duration? = null
    private var fitsSince: Duration? = null
    private var endedAt = -Duration.INFINITE
    private var takenWhileLate = 0
    private var tickedAt = clock.now()
    private val counts = EnumMap<ShedReason, Long>(ShedReason::class.java)

    /** Whether calls are shed. */
    var isOverloaded: Boolean = false
        private set

    /** Calls per second that are taken while the daemon is overloaded. */
    var takenRate: Double = Double.POSITIVE_INFINITY
        private set

    /** Calls per second that arrived lately while the daemon is overloaded, retries included. */
    var offeredRate: Double = 0.0
        private set

    /** Number of calls shed since the start. */
    val shedCounts: Map<ShedReason, Long> get() = EnumMap(counts)

    /** Load as told to the other daemons: 0 without overload, else at least 1 and the lag relative to its target. */
    val pressure: Double
        get() = when {
            isOverloaded -> maxOf(1.0, meter.lag / TARGET_LAG)
            clock.now() - endedAt < HOLD_TIME -> 1.0
            else -> 0.0
        }

    /** Time for which a call that is read now has probably waited in its socket; zero without overload. */
    val requestAge: Duration get() = if (isOverloaded) meter.lag else Duration.ZERO

    /** Whether a call that arrives now has to pass [decide]; counts it if it is taken without that. */
    fun isShedding(): Boolean {
        val since = lateSince
        // An iteration of a loop that falls behind takes longer than the one before: the next tick would be too late.
        if (!isOverloaded && since != null && meter.overdue >= TARGET_LAG) begin(since, clock.now())
        if (!isOverloaded) {
            meter.recordCall()
            takenWhileLate++
        }
        return isOverloaded
    }

    /** Takes [call] or sheds it; null when it is taken. */
    fun decide(call: PressureRequest): ShedCall? {
        val now = clock.now()
        val needed = meter.lag + minOf(meter.lag, MAX_PASS_TIME) * LOOP_PASSES
        val reason = when {
            call.deadline != null && needed > call.deadline -> ShedReason.OVERLOAD_TOO_LATE
            accounts.tryTake(call, dampedRate(), now) || meter.lag < ON_TIME_LAG -> null
            else -> reasonOf(call.shedClass)
        }
        if (reason == null) {
            meter.recordCall()
            return null
        }
        counts.merge(reason, 1, Long::plus)
        return ShedCall(reason, retryTimes.next(now, meter.lag, call.deadline?.minus(meter.lag), takenRate))
    }

    /** Adapts to the lag; called by the loop's periodic timer after [LoopLagMeter.onTimer]. */
    fun onTick() {
        val now = clock.now()
        val elapsed = (now - tickedAt).coerceAtMost(MAX_STEP)
        tickedAt = now
        if (isOverloaded) {
            adapt(elapsed, now)
        } else {
            detect(now)
        }
    }

    private fun detect(now: Duration) {
        val lag = meter.lag
        if (lag < TARGET_LAG || meter.isStalled) {
            lateSince = null
            takenWhileLate = 0
            return
        }
        val since = lateSince
        if (since == null) {
            lateSince = now - lag
        } else {
            begin(since, now)
        }
    }

    /** Shedding calls doesn't help a loop that lags without calls, such as one that starts. */
    private fun begin(since: Duration, now: Duration) {
        if (takenWhileLate < MIN_CALLS || now - since < STANDING_TIME) return
        isOverloaded = true
        takenRate = (takenWhileLate / (now - since).toDouble(DurationUnit.SECONDS)).coerceAtLeast(MIN_RATE)
        fitsSince = null
        tickedAt = now
    }

    private fun adapt(elapsed: Duration, now: Duration) {
        val excess = meter.lag / TARGET_LAG - 1
        val growth = (-excess * GAIN).coerceIn(-MAX_GAIN, GAIN)
        offeredRate = accounts.offeredRate(now)
        val grown = takenRate * exp(growth * elapsed.toDouble(DurationUnit.SECONDS))
        takenRate = grown.coerceIn(MIN_RATE, maxOf(MIN_RATE, offeredRate * MAX_OVER_DEMAND))
        val rate = dampedRate()
        accounts.distribute(rate, now)
        val fits = offeredRate <= rate && meter.lag < TARGET_LAG
        if (!fits) fitsSince = null
        val since = fitsSince ?: now.takeIf { fits }
        fitsSince = since
        if (since != null && now - since >= END_TIME) end(now)
    }

    /**
     * The rate while the lag is not at its target. The lag follows the rate with a delay; without this part, which acts
     * at once, the two oscillate.
     */
    private fun dampedRate() =
        takenRate * (1 - (meter.lag / TARGET_LAG - 1) * DAMPING).coerceIn(MIN_DAMPED, MAX_DAMPED)

    private fun end(now: Duration) {
        isOverloaded = false
        endedAt = now
        lateSince = null
        takenWhileLate = 0
        takenRate = Double.POSITIVE_INFINITY
        accounts.clear()
    }

    companion object {
        /** Lag that is aimed at under overload. A call passes the loop some times, and deadlines start at about 1 s. */
        val TARGET_LAG = 150.milliseconds

        /** Smaller lags are those of an idle loop, which takes every call. */
        private val ON_TIME_LAG = 20.milliseconds

        /** Calls that must have been taken in the time in which the loop has lagged. */
        private const val MIN_CALLS = 5

        /** Time for which the loop must lag before calls are shed; pauses of the JVM and single bursts are shorter. */
        val STANDING_TIME = 300.milliseconds

        /** Passes of a call through the loop after it is read: its turn, its response, the end of the stream. */
        private const val LOOP_PASSES = 3

        /** Time of a later pass: the lag falls back to its target while calls are shed. */
        private val MAX_PASS_TIME = 200.milliseconds

        /** Time for which everything must fit before the overload counts as ended. */
        private val END_TIME = 500.milliseconds

        /** Time for which an overload that has ended is still told, so that callers don't swing between daemons. */
        private val HOLD_TIME = 1.seconds

        /** Growth of the rate per second without lag, as the exponent of e. */
        private const val GAIN = 1.0

        /** Decline of the rate per second at a large lag. */
        private const val MAX_GAIN = 1.5
        private const val DAMPING = 0.5
        private const val MIN_DAMPED = 0.3
        private const val MAX_DAMPED = 1.25

        /** Longest time to which one adaptation applies: an iteration of the loop that took longer gives one sample. */
        private val MAX_STEP = 200.milliseconds

        /** The rate stays near the demand, so that it limits the next burst at once. */
        private const val MAX_OVER_DEMAND = 1.3
        private const val MIN_RATE = 1.0

        private fun reasonOf(shedClass: ShedClass) = when (shedClass) {
            ShedClass.UNDER_WAY -> ShedReason.OVERLOAD_UNDER_WAY
            ShedClass.SINGLE -> ShedReason.OVERLOAD_SINGLE
            ShedClass.STARTING -> ShedReason.OVERLOAD_STARTING
        }
    }
}
