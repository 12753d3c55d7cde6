package io.jasmineford.gateway.limit

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.ClientAccount
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Outcome of a call's admission to its account's allotment. */
sealed interface Allotment {
    /** The call fits. */
    data object Admitted : Allotment

    /** The call is beyond the allotment; another one fits after [retryAfter]. */
    data class Exceeded(val retryAfter: Duration) : Allotment
}

/**
 * What the deployment tolerates beyond an allotment in any span of [window]: the part [excess] of it and [slack] calls.
 */
data class AllotmentTolerance(
    val window: Duration,
    val excess: Double,
    val slack: Double,
) {
    /**
     * Calls beyond the burst that a bucket may hold; the rest covers what the daemons have not yet heard of each
     * other.
     */
    fun extraBurst(account: ClientAccount): Double {
        val allotted = account.ratePerSecond * window.toDouble(DurationUnit.SECONDS) + account.burst
        return (allotted * excess + slack) * USED_PART
    }

    private companion object {
        const val USED_PART = 0.3
    }
}

/** Use of one account's allotment by one daemon, as told to the others. */
@Serializable
data class AllotmentUse(
    val account: String,
    val admitted: Long,
    @SerialName("offered") val offeredPerSecond: Double,
)

/**
 * Meters the allotments of all accounts over all daemons, without an owner.
 *
 * Each daemon estimates one bucket for each account from its own calls and those the others tell of. While the
 * estimate is above a part of the burst, calls are admitted freely; below it this daemon takes only its part of the
 * refill, in proportion to what is offered to it. Programs that begin yield to those under way, and programs that
 * loop without end to both. Load pattern: an account that sends many times its rate to all daemons at once, while the
 * others stay well below theirs and are never refused. Daemons that fall silent are assumed to spend their even part.
 */
class AccountMeter(
    private val clock: MonotonicClock,
    private val tolerance: AllotmentTolerance,
    private val silentDaemons: () -> Int,
    private val daemonCount: () -> Int,
) {
    private val startedAt = clock.now()
    private val buckets = HashMap<String, Bucket>()
    private val heard = HashMap<String, HashMap<String, Long>>()

    /** Accounts a call of [account], or says when one fits; a program's [standing] decides who yields first. */
    fun admit(account: ClientAccount, standing: ProgramStanding = ProgramStanding.UNDER_WAY): Allotment =
        if (account.ratePerSecond <= 0) Allotment.Admitted else bucketOf(account).admit(standing)

    /** Takes back the admission of a call that ran at no endpoint. */
    fun refund(account: ClientAccount) {
        buckets[account.name]?.refund()
    }

    /**
     * Applies what daemon [from], in its [incarnation], tells of its use, also of accounts that had no call here yet.
     *
     * @param accountOf the account of a name; uses of unknown accounts are charged once they are known.
     */
    fun hear(from: String, incarnation: Long, uses: List<AllotmentUse>, accountOf: (String) -> ClientAccount?) {
        val counts = heard.getOrPut("$from/$incarnation") { HashMap() }
        uses.forEach { use ->
            val account = accountOf(use.account)?.takeIf { it.ratePerSecond > 0 } ?: return@forEach
            val before = counts.put(use.account, use.admitted)
            bucketOf(account).spendElsewhere(from, use, use.admitted - (before ?: firstCount(use)))
        }
    }

    /**
     * What a first report leaves uncharged: all of it while this daemon is itself new, since the calls are of an
     * unknown time; nothing later, since the other daemon is the one that has just started.
     */
    private fun firstCount(use: AllotmentUse): Long = if (clock.now() - startedAt < LEARNING_TIME) use.admitted else 0

    /** This daemon's use of every account that had calls. */
    fun uses(): List<AllotmentUse> = buckets.map { (name, bucket) ->
        AllotmentUse(account = name, admitted = bucket.admitted, offeredPerSecond = bucket.offeredPerSecond())
    }

    /** Whether a use since the last [uses] is large enough to be told at once. */
    fun hasNews(): Boolean = buckets.values.any { it.hasNews() }

    /** Notes that the present use was told. */
    fun markTold() = buckets.values.forEach { it.markTold() }

    private fun bucketOf(account: ClientAccount): Bucket {
        val bucket = buckets.getOrPut(account.name) { Bucket(account) }
        bucket.account = account
        return bucket
    }

    private inner class Bucket(var account: ClientAccount) {
        private val capacity: Double get() = account.burst + tolerance.extraBurst(account)
        var admitted = 0L
            private set
        private var level = capacity * START_LEVEL
        private var ownLevel = 0.0
        private var updatedAt = startedAt
        private var told = 0L
        private val demand = AccountDemand(clock)
        private var lastReturnAt = -Duration.INFINITE

        fun admit(standing: ProgramStanding): Allotment {
            refill()
            demand.note()
            val isFree = level > capacity * freePartOf(standing)
            val mayTakePart = standing == ProgramStanding.UNDER_WAY && level > 0
            val fits = isFree || (mayTakePart && ownLevel >= 1)
            if (fits) {
                admitted++
                level -= 1
                if (!isFree) ownLevel -= 1
            }
            return if (fits) Allotment.Admitted else Allotment.Exceeded(returnAfter(standing))
        }

        fun refund() {
            refill()
            admitted--
            level = (level + 1).coerceAtMost(capacity)
        }

        fun spendElsewhere(from: String, use: AllotmentUse, amount: Long) {
            refill()
            level = (level - amount).coerceAtLeast(-account.burst)
            demand.hear(from, use.offeredPerSecond)
        }

        fun offeredPerSecond(): Double {
            refill()
            return demand.own
        }

        fun hasNews(): Boolean = admitted - told > account.burst * NEWS_PART

        fun markTold() {
            told = admitted
        }

        /**
         * Time after which the refused call may fit. Refused callers get times one refill apart, so that they come
         * back in the order in which they were refused and not together.
         */
        private fun returnAfter(standing: ProgramStanding): Duration {
            val now = clock.now()
            val missing = (capacity * freePartOf(standing) + 1 - level).coerceAtLeast(0.0)
            val step = (1 / account.ratePerSecond).seconds
            val earliest = maxOf(now + step * missing, lastReturnAt + step)
            val latest = now + MAX_RETURN
            lastReturnAt = if (earliest < latest) earliest else now + step * missing
            return minOf(earliest, latest) - now
        }

        private fun refill() {
            val now = clock.now()
            val seconds = (now - updatedAt).toDouble(DurationUnit.SECONDS)
            if (seconds <= 0) return
            updatedAt = now
            val silentPart = silentDaemons().toDouble() / daemonCount().coerceAtLeast(1)
            val rate = account.ratePerSecond * (1 - silentPart)
            level = (level + seconds * rate).coerceAtMost(capacity)
            ownLevel = (ownLevel + seconds * account.ratePerSecond * part())
                .coerceAtMost((account.burst * part()).coerceAtLeast(1.0))
        }

        /**
         * An account that asks for its whole rate has no room for programs that begin, unless its burst is nearly
         * full.
         */
        private fun freePartOf(standing: ProgramStanding): Double {
            val isBusy = demand.own + demand.others() > account.ratePerSecond * BUSY_PART
            return if (standing == ProgramStanding.NEW && isBusy) BUSY_NEW_PART else freePart(standing)
        }

        /** This daemon's part of the refill: by demand among those heard, after the silent ones' even part. */
        private fun part(): Double {
            if (clock.now() - startedAt < LEARNING_TIME) return 1.0 / daemonCount().coerceAtLeast(1)
            val own = demand.own + MIN_RATE
            val silentPart = silentDaemons().toDouble() / daemonCount().coerceAtLeast(1)
            return own / (own + demand.others()) * (1 - silentPart)
        }
    }

    private companion object {
        /** A bucket starts little above the least free part, as its use before this daemon's start is unknown. */
        const val START_LEVEL = 0.25

        /** Time in which a daemon hears all others for the first time. */
        val LEARNING_TIME = 1.seconds

        /**
         * Part of the burst above which calls of programs under way are admitted without regard to the other daemons.
         */
        const val FREE_PART = 0.15

        /** Part of the burst kept for programs under way; a program that begins needs some dozen calls to end. */
        const val NEW_PART = 0.4

        /** Demand, in parts of the rate, at which an account counts as busy. */
        const val BUSY_PART = 0.8

        /** Part of the burst kept for programs under way while the account is busy. */
        const val BUSY_NEW_PART = 0.75

        /** Part of the burst kept for all other programs. */
        const val EXCESSIVE_PART = 0.6

        fun freePart(standing: ProgramStanding) = when (standing) {
            ProgramStanding.UNDER_WAY -> FREE_PART
            ProgramStanding.NEW -> NEW_PART
            ProgramStanding.EXCESSIVE -> EXCESSIVE_PART
        }

        /** Use, in parts of the burst, that is told to the others at once. */
        const val NEWS_PART = 0.02

        /** Smallest rate used in a division. */
        const val MIN_RATE = 0.1

        /** Longest time a caller is asked to stay away: callers don't wait longer for a part of their time. */
        val MAX_RETURN = 1.seconds
    }
}
