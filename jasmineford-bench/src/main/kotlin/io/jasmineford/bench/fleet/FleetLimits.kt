package io.jasmineford.bench.fleet

import io.jasmineford.bench.limit.SliceNetwork
import io.jasmineford.bench.ownership.VirtualFleet
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.limit.AccountLimiter
import io.jasmineford.core.limit.AccountRate
import io.jasmineford.core.limit.Admission
import io.jasmineford.core.limit.StaticDivisionLimiter
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rate limiters of the VMs of a run.
 *
 * @property limiters one limiter for each VM.
 * @property step advances the limiters by [LIMIT_STEP].
 */
class FleetLimits(
    val limiters: List<AccountLimiter>,
    val step: () -> Unit = {},
)

/** Creates the limiters of `vms` VMs; `rateOf` returns the rate of an account, or null for an unknown one. */
typealias FleetLimitsFactory = (time: VirtualTime, vms: Int, rateOf: (name: String) -> AccountRate?) -> FleetLimits

/** The product's limiters: slices of one token bucket for each account, on top of the product's membership. */
internal val sliceLimits: FleetLimitsFactory = { _, vms, rateOf ->
    val settings = MembershipSettings(shards = LIMIT_SHARDS)
    val fleet = VirtualFleet(vms, settings)
    val network = SliceNetwork(fleet, LIMIT_SHARDS, rateOf)
    val step = {
        fleet.advance(LIMIT_STEP)
        fleet.poll()
        network.deliver()
        network.poll()
    }
    // Membership is established before the first caller arrives.
    repeat((MEMBERSHIP_SETTLE_TIME / LIMIT_STEP).toInt()) { step() }
    FleetLimits(fleet.vms.map { network.limiterOf(it) }, step)
}

/** Baseline: each VM has an equal fixed share of each rate. */
internal val staticLimits: FleetLimitsFactory = { time, vms, _ ->
    FleetLimits(List(vms) { StaticDivisionLimiter(time.clock) { vms } })
}

/** Baseline without limits: shows how much of the latency is not due to limiters. */
internal val noLimits: FleetLimitsFactory = { _, vms, _ ->
    val unlimited = object : AccountLimiter {
        override fun admit(account: ScopedName, rate: AccountRate) = Admission.Admitted
    }
    FleetLimits(List(vms) { unlimited })
}

/** Length of a step of the limiters; also the delay of their messages. */
internal val LIMIT_STEP = 10.milliseconds

private val MEMBERSHIP_SETTLE_TIME = 30.seconds
private const val LIMIT_SHARDS = 24
