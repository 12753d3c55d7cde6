package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against address answers that send callers to daemons which shed calls while others have spare capacity. */
class OverloadedFleetTest {
    private fun VirtualFleet.namedBy(index: Int): List<Member> =
        daemons[index].exchange.advertised(isSelfServing = true)

    private fun VirtualFleet.overload(names: Set<String>) {
        daemons.forEach { it.pressure = if (it.member.name in names) 1.5 else 0.0 }
        run(5.seconds)
    }

    @Test
    fun `no daemon names the overloaded ones, in fleets with and without relays`() = listOf(6, 60).forEach { size ->
        val fleet = VirtualFleet(size, zones = 2)
        fleet.run(5.seconds)
        val before = fleet.namedBy(0)
        val overloaded = before.groupBy { it.zone }.values.map { it.first().name }.toSet()
        fleet.overload(overloaded)
        fleet.daemons.indices.forEach { index ->
            val named = fleet.namedBy(index).map { it.name }.toSet()
            assertEquals(before.map { it.name }.toSet() - overloaded, named, "$size daemons, answer of $index")
        }
        fleet.overload(emptySet())
        assertEquals(before.toSet(), fleet.namedBy(0).toSet())
    }

    @Test
    fun `at least half of the daemons are named when most are overloaded`() = listOf(6, 60).forEach { size ->
        val fleet = VirtualFleet(size, zones = 2)
        fleet.run(5.seconds)
        val before = fleet.namedBy(0)
        fleet.overload(before.drop(1).map { it.name }.toSet())
        fleet.daemons.indices.forEach { index ->
            val named = fleet.namedBy(index)
            assertTrue(named.size * 2 >= before.size, "$size daemons, answer of $index: $named of $before")
            assertTrue(before.first() in named)
        }
    }
}
