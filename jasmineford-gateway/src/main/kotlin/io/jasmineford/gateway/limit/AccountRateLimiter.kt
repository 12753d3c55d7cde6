package io.jasmineford.gateway.limit

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.ClientAccount
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Outcome of checking a call against the rate limit of its client account. */
sealed interface RateLimitDecision {
    /** The call is within the limit. */
    data object Admitted : RateLimitDecision

    /** The call exceeds the limit; the caller should retry after [retryAfter]. */
    data class Exceeded(val retryAfter: Duration, val state: BucketState) : RateLimitDecision
}

/**
 * State of an account's token bucket at one daemon, which tells why a call was refused.
 *
 * @property level estimated tokens of the whole fleet.
 * @property needed level above which the call would have been admitted freely.
 * @property share tokens of this daemon's share of the refill.
 * @property silent fraction of the daemons whose usage is not known.
 * @property reportLag additional age of the other daemons' reports.
 */
data class BucketState(
    val level: Double,
    val needed: Double,
    val share: Double,
    val silent: Double,
    val reportLag: Duration,
) {
    override fun toString(): String {
        val numbers = listOf(level, needed, share, silent).map { (it * DIGITS).roundToInt() / DIGITS }
        return "${numbers.joinToString("/")}/${reportLag.inWholeMilliseconds}"
    }

    private companion object {
        /** Two decimal places. A formatter would load many classes in a daemon that has just started. */
        const val DIGITS = 100.0
    }
}

/**
 * How far an account may exceed its rate limit in any time span of length [window].
 *
 * @property excess fraction of the calls that rate and burst allow in the span.
 * @property slack number of calls on top of that.
 */
data class RateLimitTolerance(
    val window: Duration,
    val excess: Double,
    val slack: Double,
) {
    /**
     * Number of calls added to the burst as the capacity of a token bucket. The rest of the tolerance covers usage that
     * the daemons have not yet reported to each other. That grows with the account's rate, so an account with a low one
     * can use more of the slack. While reports come late by [lag], all of the tolerance is left to such usage.
     */
    fun extraBurst(account: ClientAccount, lag: Duration): Double {
        val allowed = account.ratePerSecond * window.toDouble(DurationUnit.SECONDS) + account.burst
        val tolerated = allowed * excess + slack
        val unreported = account.ratePerSecond * UNREPORTED_TIME.toDouble(DurationUnit.SECONDS) + MIN_UNREPORTED
        val onTime = (1 - lag / MAX_TOLERATED_LAG).coerceAtLeast(0.0)
        return maxOf(tolerated * MIN_BURST_FRACTION, tolerated - unreported) * onTime
    }

    private companion object {
        /** Smallest fraction of the tolerance that is added to the burst. */
        const val MIN_BURST_FRACTION = 0.3

        /** Lag of reports from which on nothing is added to the burst. */
        val MAX_TOLERATED_LAG = 500.milliseconds

        /** Time at the account's rate for whose calls room is left: several times the delay of reports. */
        val UNREPORTED_TIME = 800.milliseconds

        /** Calls for which room is left at any rate. */
        const val MIN_UNREPORTED = 4.0
    }
}

/**
 * Usage of one client account at one daemon, as reported to the other daemons in heartbeats.
 *
 * @property admitted number of calls admitted since the daemon's start, less the refunded ones.
 * @property offeredPerSecond arrival rate, refused calls included.
 */
@Serializable
data class AccountUsage(
    val account: String,
    val admitted: Long,
    @SerialName("offered") val offeredPerSecond: Double,
)

/**
 * Neighbour in the exchange of usage, of which a daemon may be two: while it relays for others its reports include
 * theirs.
 */
data class UsageSource(val daemon: String, val isRelay: Boolean = true)

/**
 * Usage reported by one neighbour.
 *
 * @property incarnation process of the neighbour, whose counts start anew with it.
 * @property isComplete whether [uses] lists every account that had calls behind the neighbour.
 * @property isNewSource whether the neighbour has started so recently that its first report is its whole usage.
 * @property epoch changes when the neighbour's usage may have reached this daemon through others since its latest
 * report.
 * @property coversAll whether [uses] are those of all other daemons, as a relay tells them to one that is no relay.
 */
data class UsageReport(
    val source: UsageSource,
    val incarnation: Long,
    val uses: List<AccountUsage>,
    val isComplete: Boolean = true,
    val isNewSource: Boolean = true,
    val epoch: Int = 0,
    val coversAll: Boolean = false,
)

/**
 * Distributed token-bucket rate limiter for client accounts, without a coordinator.
 *
 * Each daemon keeps an estimate of one token bucket per account, from its own calls and those that the other daemons
 * report. While the estimated level is above a fraction of the capacity, calls are admitted without regard to the other
 * daemons; below it, this daemon admits only its share of the refill, in proportion to the calls it is offered.
 * Programs that start yield to programs in progress, and programs that make excessively many calls yield to both.
 * Daemons that stop reporting are assumed to use an equal share each. What is withheld for them is given back when
 * their reports show what they have used of it.
 *
 * The design covers an account that sends many times its rate to all daemons at once, while accounts that stay well
 * below their rate are never refused.
 *
 * @param unresponsiveDaemons number of registered daemons without a recent heartbeat.
 * @param daemonCount number of registered daemons, this one included.
 * @param unknownUsage time for which the usage of the other daemons is not known; null if that can't be told, and
 * nothing is given back.
 * @param reports age of the other daemons' reports, for which room is left for their calls.
 */
class AccountRateLimiter(
    private val clock: MonotonicClock,
    private val tolerance: RateLimitTolerance,
    unresponsiveDaemons: () -> Int,
    private val daemonCount: () -> Int,
    unknownUsage: (() -> UnknownUsage)? = null,
    private val reports: () -> ReportAge = { ReportAge() },
) {
    private val startedAt = clock.now()
    private val buckets = HashMap<String, Bucket>()
    private val counters = UsageCounters()
    private val fleet = LimitedFleet(clock, unresponsiveDaemons, daemonCount, unknownUsage)

    /** Takes a token for a call of [account] or returns a retry time; [admissionClass] decides who is refused first. */
    fun admit(account: ClientAccount, admissionClass: AdmissionClass = AdmissionClass.UNDER_WAY): RateLimitDecision =
        if (account.ratePerSecond <= 0) RateLimitDecision.Admitted else bucketOf(account).admit(admissionClass)

    /** Returns the token of an admitted call that no endpoint ran. */
    fun refund(account: ClientAccount) {
        buckets[account.name]?.refund()
    }

    /**
     * Applies the usage reported by daemon [from] in its [incarnation], including accounts without a call here yet.
     *
     * @param accountOf returns the account of a name; usage of unknown accounts is charged once they are known.
     */
    fun applyPeerUsage(
        from: String,
        incarnation: Long,
        reports: List<AccountUsage>,
        accountOf: (String) -> ClientAccount?,
    ) = applyPeerUsage(UsageReport(UsageSource(from), incarnation, reports), accountOf)

    /**
     * Applies the usage of [report], including accounts without a call here yet.
     *
     * @param accountOf returns the account of a name; usage of unknown accounts is charged once they are known.
     */
    fun applyPeerUsage(report: UsageReport, accountOf: (String) -> ClientAccount?) {
        val reader = counters.read(report)
        report.uses.forEach { use ->
            val account = accountOf(use.account)?.takeIf { it.ratePerSecond > 0 } ?: return@forEach
            bucketOf(account).chargePeerUsage(report, use, reader.charge(use))
        }
    }

    /** Follows which daemons are heard; called periodically. */
    fun onTick() = fleet.onTick()

    /** This daemon's usage of every account that had calls at any daemon. */
    fun usage(): List<AccountUsage> = usage(isComplete = true) { false }

    /**
     * Usage at this daemon and behind [sources] together, of every account that had calls if [isComplete], else of
     * those whose usage has changed recently.
     */
    fun usage(isComplete: Boolean, sources: (UsageSource) -> Boolean): List<AccountUsage> {
        val since = if (isComplete) -Duration.INFINITE else clock.now() - REPEAT_TIME
        return buckets.values.filter { it.changedAt > since }.map { it.usage(sources) }
    }

    /** Whether the usage since the last [markReported] is large enough to be reported at once. */
    fun hasUnreportedUsage(): Boolean = buckets.values.any { it.hasUnreportedUsage() }

    /** Records that the present usage has been reported. */
    fun markReported() = buckets.values.forEach { it.markReported() }

    private fun bucketOf(account: ClientAccount): Bucket {
        val bucket = buckets.getOrPut(account.name) { Bucket(account) }
        bucket.account = account
        return bucket
    }

    private inner class Bucket(var account: ClientAccount) {
        /** Calls beyond the limit are paid for as long as they count in the limit's window. */
        private val largestDebt: Double
            get() = maxOf(account.burst, account.ratePerSecond * tolerance.window.toDouble(DurationUnit.SECONDS))

        /** Age of the reports as of the latest refill, which precedes each use of the bucket. */
        private var age = reports()
        private val capacity: Double get() = account.burst + tolerance.extraBurst(account, age.lag)
        var admitted = 0L
            private set
        private val tokens = fleet.tokensOf(account.ratePerSecond, initially = capacity * INITIAL_LEVEL, capacity)
        private val level: Double get() = tokens.level
        private var shareLevel = 0.0
        private var shareUpdatedAt = startedAt
        private var reported = 0L
        private val demand = AccountDemand(clock)
        private val chargedBySource = HashMap<UsageSource, Long>()

        /** Time of the latest call or charge. */
        var changedAt = startedAt
            private set
        private var lastRetryAt = -Duration.INFINITE

        fun admit(admissionClass: AdmissionClass): RateLimitDecision {
            refill()
            changedAt = clock.now()
            demand.recordCall()
            val hasRoom = level > freeThreshold(admissionClass)
            val isFree = hasRoom && !fleet.isDemandUnknown(age)
            val lateShares = lateCalls(account.ratePerSecond, age.lag, capacity)
            val mayUseShare = (hasRoom || admissionClass == AdmissionClass.UNDER_WAY) && level > lateShares
            val fits = isFree || (mayUseShare && shareLevel >= 1)
            if (fits) {
                admitted++
                tokens.take(1.0)
                if (!isFree) shareLevel -= 1
            }
            return if (fits) {
                RateLimitDecision.Admitted
            } else {
                val needed = freeThreshold(admissionClass)
                val state = BucketState(level, needed, shareLevel, tokens.silentShare, age.lag)
                RateLimitDecision.Exceeded(retryAfter(admissionClass), state)
            }
        }

        fun refund() {
            refill()
            changedAt = clock.now()
            admitted--
            tokens.take(-minOf(1.0, capacity - level))
        }

        fun chargePeerUsage(report: UsageReport, use: AccountUsage, amount: Long) {
            refill()
            tokens.take(amount.toDouble(), lowest = -largestDebt)
            demand.recordPeerRate(report.source, use.offeredPerSecond, report.coversAll)
            if (amount != 0L) {
                changedAt = clock.now()
                chargedBySource.merge(report.source, amount, Long::plus)
            }
        }

        fun usage(sources: (UsageSource) -> Boolean): AccountUsage {
            refill()
            return AccountUsage(
                account = account.name,
                admitted = admitted + chargedBySource.entries.sumOf { if (sources(it.key)) it.value else 0L },
                offeredPerSecond = demand.local + demand.atPeers(sources),
            )
        }

        fun hasUnreportedUsage(): Boolean = admitted - reported > account.burst * REPORT_FRACTION

        fun markReported() {
            reported = admitted
        }

        /**
         * Time after which a refused call should be retried. Consecutive refusals get times one token's refill apart,
         * so that callers retry one after the other, in the order of their refusal.
         */
        private fun retryAfter(admissionClass: AdmissionClass): Duration {
            val now = clock.now()
            val missing = (freeThreshold(admissionClass) + 1 - level).coerceAtLeast(0.0)
            val step = (1 / account.ratePerSecond).seconds
            val earliest = maxOf(now + step * missing, lastRetryAt + step)
            val latest = now + MAX_RETRY_AFTER
            lastRetryAt = if (earliest < latest) earliest else now + step * missing
            return minOf(earliest, latest) - now
        }

        private fun refill() {
            age = reports()
            tokens.refill(account.ratePerSecond, capacity)
            val now = clock.now()
            val seconds = (now - shareUpdatedAt).toDouble(DurationUnit.SECONDS)
            shareUpdatedAt = now
            val share = refillShare()
            shareLevel = (shareLevel + seconds * account.ratePerSecond * share)
                .coerceAtMost((account.burst * share).coerceAtLeast(1.0))
        }

        /**
         * Bucket level above which a call is admitted freely. It leaves room for the calls that the other daemons admit
         * until their reports arrive.
         */
        private fun freeThreshold(admissionClass: AdmissionClass): Double {
            val elsewhere = demand.atPeers()
            val isBusy = demand.local + elsewhere > account.ratePerSecond * BUSY_RATE_FRACTION
            val isLimited = admissionClass == AdmissionClass.NEW && isBusy
            val fraction = if (isLimited) BUSY_NEW_THRESHOLD else baseThreshold(admissionClass)
            val unreported = elsewhere * age.delay.toDouble(DurationUnit.SECONDS)
            val lowest = capacity * UNDER_WAY_THRESHOLD + unreported.coerceAtMost(capacity * MAX_UNREPORTED) +
                lateCalls(elsewhere, age.lag, capacity)
            return maxOf(capacity * fraction, lowest)
        }

        /** This daemon's share of the refill: by arrival rate, after an equal share for each unresponsive one. */
        private fun refillShare(): Double {
            if (fleet.isDemandUnknown(age)) return 1.0 / daemonCount().coerceAtLeast(1)
            val own = demand.local + RATE_OFFSET
            return own / (own + demand.atPeers()) * (1 - fleet.usage().silentShare)
        }
    }

    private companion object {
        /** Initial level: little above the lowest threshold, as the usage before this daemon's start is unknown. */
        const val INITIAL_LEVEL = 0.16

        /** Time for which a change of the usage is reported again, since single reports may be lost. */
        val REPEAT_TIME = 1.seconds

        /** Level above which calls of programs in progress are admitted without regard to the other daemons. */
        const val UNDER_WAY_THRESHOLD = 0.15

        /** Fraction kept for programs in progress: a program that starts needs some dozen calls to finish. */
        const val NEW_THRESHOLD = 0.4

        /** Arrival rate, as a fraction of the account's rate, above which the account counts as busy. */
        const val BUSY_RATE_FRACTION = 0.8

        /**
         * Fraction kept for programs in progress while the account is busy: it has no capacity for further programs
         * unless its bucket is nearly full.
         */
        const val BUSY_NEW_THRESHOLD = 0.75

        /** Fraction kept for all other programs, not less than from new programs while the account is busy. */
        const val EXCESSIVE_THRESHOLD = BUSY_NEW_THRESHOLD

        fun baseThreshold(admissionClass: AdmissionClass) = when (admissionClass) {
            AdmissionClass.UNDER_WAY -> UNDER_WAY_THRESHOLD
            AdmissionClass.NEW -> NEW_THRESHOLD
            AdmissionClass.EXCESSIVE -> EXCESSIVE_THRESHOLD
        }

        /** Largest fraction of the capacity that is kept for calls not yet reported. */
        const val MAX_UNREPORTED = 0.35

        /** Unreported usage, as a fraction of the burst, that is reported to the other daemons at once. */
        const val REPORT_FRACTION = 0.02

        /** Added to this daemon's arrival rate: an idle daemon keeps a share, and no divisor is zero. */
        const val RATE_OFFSET = 0.1

        /** Longest retry time given to a caller: callers don't spend more of their deadline on one wait. */
        val MAX_RETRY_AFTER = 1.seconds
    }
}

/** Largest fraction of a bucket's capacity that is kept for calls whose reports late event loops hold up. */
private const val MAX_LATE = 0.45

/** Calls, admitted at [perSecond], whose reports are held up for [lag]; at most a part of [capacity]. */
private fun lateCalls(perSecond: Double, lag: Duration, capacity: Double): Double =
    (perSecond * lag.toDouble(DurationUnit.SECONDS)).coerceAtMost(capacity * MAX_LATE)
