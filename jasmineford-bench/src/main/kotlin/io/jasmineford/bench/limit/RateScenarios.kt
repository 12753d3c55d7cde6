package io.jasmineford.bench.limit

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.limit.AccountRate
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Scenarios of account rate limits on 6 VMs. Requests wait at most [DEADLINE]. */
internal val rateScenarios: List<Scenario> = listOf(
    Scenario("rate-steady", "Account rates with callers spread over 6 VMs, and with all callers on one VM.") { seed ->
        variants("rate-steady") { sharing ->
            val spread = run(sharing, seed, 60.seconds, callersAt = { 0 until VMS })
            val single = run(sharing, seed, 60.seconds, callersAt = { 0..0 })
            listOf(
                spread.measures(WRONGFUL_SPREAD, bound = 0.0, seed),
                single.measures(WRONGFUL_SINGLE, bound = 0.0, seed),
            )
        }
    },
    Scenario("rate-vm-lost", "Account rates while the VM that owns the largest account's bucket crashes.") { seed ->
        variants("rate-vm-lost") { sharing ->
            val result = run(sharing, seed, 90.seconds, callersAt = { 0 until VMS }) { fleet ->
                val isAllRunning = fleet.fleet.vms.all { it.isRunning }
                if (isAllRunning && fleet.fleet.time >= START + 20.seconds) fleet.ownerOf(fleet.loads.first())?.isRunning = false
            }
            listOf(result.measures(WRONGFUL, bound = VM_LOST_PERCENT, seed))
        }
    },
    Scenario("rate-store-outage", "Account rates in a store outage of ten minutes.") { seed ->
        variants("rate-store-outage") { sharing ->
            val result = run(sharing, seed, 12.minutes, callersAt = { 0 until VMS }) { fleet ->
                fleet.fleet.store.isDown = fleet.fleet.time in (START + 1.minutes)..(START + 11.minutes)
            }
            listOf(result.measures(WRONGFUL, bound = OUTAGE_PERCENT, seed))
        }
    },
)

private class RateResult(val loads: List<AccountLoad>, val storeCallsPerVm: Double, val measured: Duration) {
    /**
     * Refusals are counted for the accounts that stay within their rate. The overshoot is the maximum over all
     * accounts, which include one that sends three times its rate.
     */
    fun measures(wrongful: String, bound: Double, seed: Long): (String, String) -> List<Measurement> {
        val within = loads.filter { it.account.name != GREEDY }
        val percent = 100.0 * within.sumOf { it.refused } / within.sumOf { it.offered }
        return { scenario, variant ->
            val isProduct = variant == PRODUCT_VARIANT
            fun measure(name: String, value: Double, unit: String, limit: Double?) =
                Measurement(scenario, variant, name, value, unit, limit.takeIf { isProduct }, seed)
            val suffix = wrongful.removePrefix(WRONGFUL)
            listOf(
                measure(wrongful, percent, "%", bound),
                measure("overshoot$suffix", loads.maxOf { overshoot(it) }, "requests", 0.0),
                measure("store-calls$suffix", storeCallsPerVm / measured.toDouble(DurationUnit.SECONDS), "1/s/VM", null),
            )
        }
    }
}

private fun variants(
    scenario: String,
    run: (Sharing) -> List<(String, String) -> List<Measurement>>,
): List<Measurement> = Sharing.entries.flatMap { sharing ->
    val variant = if (sharing == Sharing.SLICES) PRODUCT_VARIANT else sharing.name.lowercase().replace('_', '-')
    run(sharing).flatMap { it(scenario, variant) }
}

/** Runs three accounts at 0.8 of their rate and one at three times its rate. */
private fun run(
    sharing: Sharing,
    seed: Long,
    length: Duration,
    callersAt: () -> IntRange,
    faults: (LimitFleet) -> Unit = {},
): RateResult {
    val loads = listOf("large", "medium", "small", GREEDY).map { name ->
        AccountLoad(ScopedName("league", name), RATES.getValue(name))
    }
    val fleet = LimitFleet(VMS, sharing, loads, DEADLINE, Random(seed))
    while (fleet.fleet.time < START) fleet.step()
    val before = fleet.fleet.store.counts
    while (fleet.fleet.time < START + length) {
        faults(fleet)
        val at = fleet.fleet.vms.filter { it.isRunning && it.index in callersAt() }
        for (load in loads) {
            val share = if (load.account.name == GREEDY) GREEDY_LOAD else NORMAL_LOAD
            fleet.offerPoisson(load, load.rate.ratePerSecond * share, at)
        }
        fleet.step()
    }
    val calls = fleet.fleet.store.counts.run { reads + writes + lists } - before.run { reads + writes + lists }
    return RateResult(loads, calls.toDouble() / VMS, length)
}

private const val VMS = 6
private const val GREEDY = "greedy"
private const val NORMAL_LOAD = 0.8
private const val GREEDY_LOAD = 3.0
private const val VM_LOST_PERCENT = 0.1
private const val OUTAGE_PERCENT = 1.0
private const val WRONGFUL = "wrongful-refusals"
private const val WRONGFUL_SPREAD = "wrongful-refusals-spread"
private const val WRONGFUL_SINGLE = "wrongful-refusals-on-one-vm"
private val RATES = mapOf(
    "large" to AccountRate(ratePerSecond = 60.0, burst = 60.0),
    "medium" to AccountRate(ratePerSecond = 20.0, burst = 20.0),
    "small" to AccountRate(ratePerSecond = 3.0, burst = 6.0),
    GREEDY to AccountRate(ratePerSecond = 20.0, burst = 20.0),
)

/** Start of the measurement; leases and buckets are assigned by then. */
private val START = 20.seconds

/** Maximum wait of a request, as set by `Jasmineford-Deadline-Ms`: a sixth of the daemon's default. */
private val DEADLINE = 10.seconds
