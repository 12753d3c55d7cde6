package io.jasmineford.core.lease

import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards the stored JSON of leases and the shard map. Decoders ignore unknown keys, so a renamed property would lose
 * data silently.
 */
class LeaseFormatTest {
    private val identity = VmIdentity("vm-1", "zone-a", "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82")

    @Test
    fun `a lease is stored under fixed names`() {
        val lease = Lease(identity, 11, 12, true, true)
        val expected = text(
            """
            {"identity":{"vm":"vm-1","zone":"zone-a","callerAddress":"10.0.0.1:80","peerAddress":"10.0.0.1:81",
            "operatorAddress":"10.0.0.1:82"},"incarnation":11,"renewal":12,"isRevoked":true,"isLeaving":true}
            """,
        )
        assertEquals(expected, leaseJson.encodeToString(lease))
        assertEquals(lease, leaseJson.decodeFromString(expected))
    }

    @Test
    fun `a shard map is stored under fixed names`() {
        val owner = ShardOwner("vm-1", 11, 21, listOf("vm-2-9", "vm-1-11"), true, listOf(LeaseHolder("vm-2", 9)))
        val map = ShardMap(22, listOf(owner), setOf(LeaseHolder("vm-1", 11)))
        val expected = text(
            """
            {"epoch":22,"shards":[{"vm":"vm-1","incarnation":11,"epoch":21,"journals":["vm-2-9","vm-1-11"],
            "isReleased":true,"withheldFor":[{"vm":"vm-2","incarnation":9}]}],
            "members":[{"vm":"vm-1","incarnation":11}]}
            """,
        )
        assertEquals(expected, leaseJson.encodeToString(map))
        assertEquals(map, leaseJson.decodeFromString(expected))
    }

    /** The lines of a literal joined to one JSON text. */
    private fun text(lines: String): String = lines.lines().joinToString("") { it.trim() }
}
