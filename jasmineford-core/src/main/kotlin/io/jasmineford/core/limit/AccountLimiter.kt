package io.jasmineford.core.limit

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/** Decision of a limiter on one request. */
sealed interface Admission {
    /** The request may run. */
    data object Admitted : Admission

    /** The request may be retried after [delay], if its deadline allows. */
    data class Wait(val delay: Duration) : Admission
}

/** Rate and burst of one client account over all VMs together. */
data class AccountRate(
    val ratePerSecond: Double,
    val burst: Double,
)

/** Admits requests of client accounts on this VM. Implementations differ in how VMs share an account's rate. */
interface AccountLimiter {
    /** Decides whether one request of [account] may run now, and counts it if so. */
    fun admit(account: ScopedName, rate: AccountRate): Admission
}

/**
 * Gives each of [vms] VMs an equal fixed part of the rate and burst. Serves as a baseline: when callers are spread
 * unevenly, it refuses requests that are within the account's rate.
 */
class StaticDivisionLimiter(
    private val clock: MonotonicClock,
    private val vms: () -> Int,
) : AccountLimiter {
    private val buckets = HashMap<ScopedName, Pair<AccountRate, TokenBucket>>()

    override fun admit(account: ScopedName, rate: AccountRate): Admission {
        val part = vms().coerceAtLeast(1)
        val share = AccountRate(rate.ratePerSecond / part, (rate.burst / part).coerceAtLeast(1.0))
        val bucket = buckets[account]?.takeIf { it.first == share }?.second ?: TokenBucket(
            ratePerSecond = share.ratePerSecond,
            burst = share.burst,
            startedAt = clock.now(),
        ).also { buckets[account] = share to it }
        if (bucket.tryTake(clock.now())) return Admission.Admitted
        return Admission.Wait(bucket.timeUntil(clock.now()))
    }
}
