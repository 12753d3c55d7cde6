package io.jasmineford.gateway.limit

import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the usage of one account in heartbeats, and the values that log lines contain. */
class AccountUsageFormatTest {
    @Test
    fun `the usage of an account is encoded as CBOR`() {
        val use = AccountUsage("acme", 1234, 12.5)
        val hex = "bf676163636f756e746461636d656861646d69747465641904d2676f666665726564fb4029000000000000ff"
        assertEquals(hex, peerCbor.encodeToByteArray(use).joinToString("") { "%02x".format(it) })
        val bytes = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
        assertEquals(use, peerCbor.decodeFromByteArray<AccountUsage>(bytes))
    }

    @Test
    fun `the admission class of a program is logged under these names`() {
        assertEquals(listOf("UNDER_WAY", "NEW", "EXCESSIVE"), AdmissionClass.entries.map { "$it" })
    }
}
