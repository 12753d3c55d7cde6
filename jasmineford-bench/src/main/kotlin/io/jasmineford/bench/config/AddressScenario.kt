package io.jasmineford.bench.config

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.core.address.AddressQuery
import io.jasmineford.core.address.rankVms
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.VmIdentity
import kotlin.random.Random

/** Load of the busiest VM over the mean when callers use the first address they get, with and without a program. */
internal fun addressSpread(seed: Long): List<Measurement> = fleetSizes.flatMap { (vmCount, zones) ->
    val random = Random(seed)
    val leases = (0 until vmCount).map { number ->
        val zone = "zone-${number % zones}"
        Lease(VmIdentity("$zone-$number", zone, "c$number", "p$number", "o$number"), incarnation = 1, renewal = 0)
    }
    val account = ScopedName("org", "large")
    // Half of the callers belong to one large account.
    val queries = List(CALLERS_PER_VM * vmCount) { number ->
        val own = if (random.nextBoolean()) account else ScopedName("org", "a${random.nextInt(ACCOUNTS)}")
        AddressQuery(account = own, zone = "zone-${random.nextInt(zones)}", salt = random.nextLong()) to
            AddressQuery(account = own, program = "program $number", zone = "zone-${random.nextInt(zones)}")
    }
    listOf(
        "without-program" to queries.map { it.first },
        "with-program" to queries.map { it.second },
    ).map { (name, asked) ->
        val load = asked.groupingBy { rankVms(leases, ServiceState(), it).first().identity.vm }.eachCount()
        val ratio = load.values.max() / (asked.size.toDouble() / vmCount)
        Measurement("address-spread", PRODUCT_VARIANT, "max-over-mean-$name-at-$vmCount-vms", ratio, "ratio", null, seed)
    }
}

private const val CALLERS_PER_VM = 100
private const val ACCOUNTS = 2_500
