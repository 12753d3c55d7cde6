package io.jasmineford.bench.config

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.core.config.AccountKey
import io.jasmineford.core.config.ClientAccount
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.DIGEST_PREFIX
import io.jasmineford.core.config.OrganisationConfiguration
import io.jasmineford.core.key.digestOfKey
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Scenarios of configuration rollout, key withdrawal and address lists. */
val configurationScenarios: List<Scenario> = listOf(
    Scenario("configuration-fan-out", "Release notes at 9,000 a day until they are in force on every VM", ::fanOut),
    Scenario("key-withdrawal", "A key is withdrawn while a VM is cut off or the store goes down", ::withdrawal),
    Scenario("configuration-store-outage", "Keyed requests while the store is down and all peers are connected", ::storeOutage),
    Scenario("address-spread", "Callers spread over the entry VMs", ::addressSpread),
)

/** Numbers of VMs and zones: the current fleet, ten times its size, and the design size. */
internal val fleetSizes = listOf(6 to 3, 60 to 6, 390 to 7)

private fun fanOut(seed: Long): List<Measurement> = fleetSizes.flatMap { (vmCount, zones) ->
    val random = Random(seed)
    val fleet = ConfigurationFleet(random, vmCount, zones)
    fleet.publish(designSizeConfiguration())
    fleet.runUntil(WARM_UP)
    fleet.vms.forEach {
        it.storeCalls = 0
        it.bytes = 0
    }
    var unproved = 0
    var next = WARM_UP
    while (next < WARM_UP + MEASURED) {
        next += (-ln(1 - random.nextDouble()) / CHANGES_PER_SECOND).seconds
        fleet.runUntil(minOf(next, WARM_UP + MEASURED))
        unproved += fleet.vms.count { !it.holder.isProvedCurrent() }
        if (next < WARM_UP + MEASURED) fleet.publish(changed(fleet.current(), random))
    }
    fleet.runUntil(WARM_UP + MEASURED + SETTLING)
    val spans = (MEASURED + SETTLING).toDouble(DurationUnit.SECONDS)
    val delays = fleet.acceptedAt.keys.drop(1).flatMap { generation -> fleet.vms.map { delayOf(fleet, it, generation) } }.sorted()
    fun measure(name: String, value: Double, unit: String, bound: Double? = null) =
        Measurement("configuration-fan-out", PRODUCT_VARIANT, "$name-at-$vmCount-vms", value, unit, bound, seed)
    listOf(
        measure("in-force-p99", delays[ceil(delays.size * P99).toInt() - 1], "s", MAX_IN_FORCE_SECONDS),
        measure("in-force-max", delays.last(), "s"),
        measure("reverts", fleet.vms.sumOf { it.reverts }.toDouble(), "count", 0.0),
        measure("unproved-samples", unproved.toDouble(), "count", 0.0),
        measure("store-calls-a-vm", fleet.vms.sumOf { it.storeCalls } / spans / vmCount, "1/s"),
        measure("watches-a-vm", fleet.vms.count { it.sync.isWatcher() }.toDouble() / vmCount, "ratio"),
        measure("control-bytes-mean", fleet.vms.sumOf { it.bytes } / spans / vmCount, "B/s", MAX_CONTROL_BYTES),
        measure("control-bytes-max", fleet.vms.maxOf { it.bytes } / spans, "B/s", MAX_CONTROL_BYTES),
    )
}

/** Seconds until [generation] or a newer one was active on [vm]. */
private fun delayOf(fleet: ConfigurationFleet, vm: ConfigurationVm, generation: Long): Double {
    val at = vm.inForceAt.filterKeys { it >= generation }.values.minOrNull() ?: Duration.INFINITE
    return (at - fleet.acceptedAt.getValue(generation)).toDouble(DurationUnit.SECONDS)
}

private fun withdrawal(seed: Long): List<Measurement> = fleetSizes.flatMap { (vmCount, zones) ->
    WithdrawalFault.entries.map { fault ->
        val worst = (0 until WITHDRAWALS).maxOf { round ->
            val random = Random(seed * WITHDRAWALS + round)
            val fleet = ConfigurationFleet(random, vmCount, zones)
            fleet.publish(smallConfiguration())
            fleet.runUntil(PROOF_WARM_UP + random.nextLong(1_000).milliseconds)
            withdrawalSeconds(fleet, fault)
        }
        Measurement(
            scenario = "key-withdrawal",
            variant = PRODUCT_VARIANT,
            measure = "stops-after-max-${fault.label}-at-$vmCount-vms",
            value = worst,
            unit = "s",
            bound = MAX_WITHDRAWAL_SECONDS,
            seed = seed,
        )
    }
}

private enum class WithdrawalFault(val label: String) {
    NONE("healthy"),
    CUT_OFF("vm-cut-off"),
    STORE_DOWN("store-down-afterwards"),
}

/** Seconds from the publication of the withdrawal until no VM admits the key any more. */
private fun withdrawalSeconds(fleet: ConfigurationFleet, fault: WithdrawalFault): Double {
    val digest = digestOfKey("key 0")
    val before = fleet.current()
    val content = before.organisations.getValue("org")
    val after = before.copy(
        generation = before.generation + 1,
        organisations = mapOf("org" to content.copy(keys = content.keys - "k0")),
    )
    if (fault == WithdrawalFault.CUT_OFF) fleet.vms.first().isPartitioned = true
    fleet.publish(after)
    if (fault == WithdrawalFault.STORE_DOWN) fleet.isStoreDown = true
    val acceptedAt = fleet.now
    while (fleet.vms.any { it.holder.isProvedCurrent() && it.holder.current.accountOf(digest) != null }) {
        fleet.runUntil(fleet.now + SAMPLE_INTERVAL)
        if (fleet.now - acceptedAt > WITHDRAWAL_TIMEOUT) break
    }
    // The key was last seen admitted at the end of the sample before the last one.
    return (fleet.now - acceptedAt - SAMPLE_INTERVAL).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
}

private fun storeOutage(seed: Long): List<Measurement> = fleetSizes.flatMap { (vmCount, zones) ->
    val fleet = ConfigurationFleet(Random(seed), vmCount, zones)
    fleet.publish(smallConfiguration())
    fleet.runUntil(OUTAGE_START)
    fleet.vms.forEach { it.bytes = 0 }
    fleet.isStoreDown = true
    var refusing = 0
    repeat((OUTAGE / OUTAGE_SAMPLE_INTERVAL).toInt()) {
        fleet.runUntil(fleet.now + OUTAGE_SAMPLE_INTERVAL)
        refusing += fleet.vms.count { !it.holder.isProvedCurrent() }
    }
    val seconds = OUTAGE.toDouble(DurationUnit.SECONDS)
    fun measure(name: String, value: Double, unit: String, bound: Double? = null) =
        Measurement("configuration-store-outage", PRODUCT_VARIANT, "$name-at-$vmCount-vms", value, unit, bound, seed)
    listOf(
        measure("refusing-vm-samples", refusing.toDouble(), "count", 0.0),
        measure("control-bytes-mean", fleet.vms.sumOf { it.bytes } / seconds / vmCount, "B/s"),
        measure("control-bytes-max", fleet.vms.maxOf { it.bytes } / seconds, "B/s"),
    )
}

private fun designSizeConfiguration(): Configuration = Configuration(
    generation = 1,
    organisations = (0 until ORGANISATIONS).associate { organisation ->
        "org$organisation" to organisationOf(ACCOUNTS / ORGANISATIONS, "org$organisation ")
    },
)

private fun smallConfiguration() = Configuration(generation = 1, organisations = mapOf("org" to organisationOf(10, "")))

private fun organisationOf(accounts: Int, keyPrefix: String) = OrganisationConfiguration(
    accounts = (0 until accounts).associate { "a$it" to ClientAccount("a$it", ratePerSecond = 10.0, burst = 20.0) },
    keys = (0 until accounts).associate {
        "k$it" to AccountKey("k$it", "a$it", DIGEST_PREFIX + digestOfKey("${keyPrefix}key $it").hex)
    },
)

private fun changed(before: Configuration, random: Random): Configuration {
    val name = "org${random.nextInt(ORGANISATIONS)}"
    val content = before.organisations.getValue(name)
    val account = content.accounts.values.elementAt(random.nextInt(content.accounts.size))
    val after = content.copy(accounts = content.accounts + (account.name to account.copy(burst = account.burst + 1)))
    return before.copy(generation = before.generation + 1, organisations = before.organisations + (name to after))
}

private const val ORGANISATIONS = 5
private const val ACCOUNTS = 2_500
private const val CHANGES_PER_SECOND = 9_000.0 / 86_400
private const val P99 = 0.99
private const val MAX_IN_FORCE_SECONDS = 4.0
private const val MAX_WITHDRAWAL_SECONDS = 2.0
private const val MAX_CONTROL_BYTES = 3_000.0
private const val WITHDRAWALS = 3
private val WARM_UP = 5.seconds
private val PROOF_WARM_UP = 3.seconds
private val MEASURED = 1.minutes
private val SETTLING = 5.seconds
private val SAMPLE_INTERVAL = 10.milliseconds

/** Later than the period after its start in which a VM doesn't confirm its own configuration as current. */
private val OUTAGE_START = 12.seconds
private val OUTAGE = 20.seconds
private val OUTAGE_SAMPLE_INTERVAL = 50.milliseconds
private val WITHDRAWAL_TIMEOUT = 4.seconds
