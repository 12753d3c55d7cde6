package io.jasmineford.cli.operator

import io.jasmineford.daemon.operator.DaemonStatus
import io.jasmineford.daemon.operator.PeerStatus
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON that `status` and the commands that change the configuration print. */
class RolloutTest {
    @Test
    fun `a VM report is encoded and decoded with every field`() {
        val peer = PeerStatus("vm-2", "zone-b", "127.0.0.1:7212", true, true)
        val status = DaemonStatus("vm-1", "zone-a", 4, 120, true, true, 6, 9, 33, listOf(peer))
        val report = VmReport("vm-1", "127.0.0.1:7112", status)
        val text = """{"vm":"vm-1","operatorAddress":"127.0.0.1:7112","status":{"vm":"vm-1","zone":"zone-a",""" +
            """"generation":4,"proofAgeMs":120,"isLeaseValid":true,"isLeaving":true,"shards":6,"programs":9,""" +
            """"segmentsWritten":33,"peers":[{"vm":"vm-2","zone":"zone-b","operatorAddress":"127.0.0.1:7212",""" +
            """"isLeaving":true,"isRevoked":true}]}}"""
        assertEquals(text, Json.encodeToString(report))
        assertEquals(report, Json.decodeFromString<VmReport>(text))
    }

    @Test
    fun `a VM that does not answer has no status in its report`() {
        val report = VmReport("vm-1", "127.0.0.1:7112", null)
        val text = """{"vm":"vm-1","operatorAddress":"127.0.0.1:7112"}"""
        assertEquals(text, Json.encodeToString(report))
        assertEquals(report, Json.decodeFromString<VmReport>(text))
    }

    @Test
    fun `a rollout report is encoded and decoded with every field`() {
        val report = RolloutReport(5, listOf("vm-1", "vm-2"), listOf("vm-3"))
        val text = """{"generation":5,"inForce":["vm-1","vm-2"],"missing":["vm-3"]}"""
        assertEquals(text, Json.encodeToString(report))
        assertEquals(report, Json.decodeFromString<RolloutReport>(text))
    }
}
