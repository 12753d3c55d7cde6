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
 * Makes the limiters of [vms] VMs, which share the rates that [rateOf] tells.
 *
 * @property limiters one for each VM.
 * @property step moves the limiters on by [LIMIT_STEP].
 */
class FleetLimits(
    val limiters: List<AccountLimiter>,
    val step: () -> Unit = {},
)

/** Makes the limiters of a run. */
typealias FleetLimitsFactory = (time: VirtualTime, vms: Int, rateOf: (name: String) -> AccountRate?) -> FleetLimits

/** The limiters that the daemon runs: slices of one bucket for each account, with the product's membership beneath. */
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
    // The VMs have formed their membership before callers come.
    repeat((FORMATION / LIMIT_STEP).toInt()) { step() }
    FleetLimits(fleet.vms.map { network.limiterOf(it) }, step)
}

/** Baseline: each VM has an equal fixed part of each rate. */
internal val dividedLimits: FleetLimitsFactory = { time, vms, _ ->
    FleetLimits(List(vms) { StaticDivisionLimiter(time.clock) { vms } })
}

/** Baseline without limits: the part of the latency that is not due to limiters. */
internal val noLimits: FleetLimitsFactory = { _, vms, _ ->
    val unlimited = object : AccountLimiter {
        override fun admit(account: ScopedName, rate: AccountRate) = Admission.Admitted
    }
    FleetLimits(List(vms) { unlimited })
}

/** Step of the limiters, also the delay of their messages. */
internal val LIMIT_STEP = 10.milliseconds

private val FORMATION = 30.seconds
private const val LIMIT_SHARDS = 24
