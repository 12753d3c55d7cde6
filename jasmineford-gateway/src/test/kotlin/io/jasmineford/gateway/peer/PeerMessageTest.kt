package io.jasmineford.gateway.peer

import io.jasmineford.gateway.call.CrashReport
import io.jasmineford.gateway.limit.AccountUsage
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import java.util.HexFormat
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a renamed property that daemons of different releases would drop silently: unknown keys are ignored
 * and absent ones take their defaults.
 */
class PeerMessageTest {
    private val heartbeat = Heartbeat(
        "edge-a-1",
        1_700_000_000_000,
        41,
        40,
        true,
        true,
        250,
        7,
        mapOf("i-1" to 3),
        listOf(AccountUsage("club", 12, 2.5)),
        mapOf("aabb" to 2),
        mapOf("p-1" to 5),
    )
    private val member =
        Member("edge-a-1", 1_700_000_000_000, "a", "r", true, "10.1.0.11", 7780, "10.1.0.11:8368")

    @Test
    fun `the bytes of a heartbeat are fixed`() {
        val hex = "bf6466726f6d68656467652d612d316b696e6361726e6174696f6e1b0000018bcfe568006873657175656e6365182964" +
            "6563686f18286769735265616479f56969734c656176696e67f570636f6e746163744167654d696c6c697318fa6d636f" +
            "6e66696756657273696f6e0768696e466c69676874bf63692d3103ff64757365739fbf676163636f756e7464636c7562" +
            "6861646d69747465640c676f666665726564fb4004000000000000ffff6763726173686573bf646161626202ff687072" +
            "6f6772616d73bf63702d3105ffff"
        assertEquals(hex, HexFormat.of().formatHex(peerCbor.encodeToByteArray(heartbeat)))
        assertEquals(heartbeat, peerCbor.decodeFromByteArray<Heartbeat>(HexFormat.of().parseHex(hex)))
    }

    @Test
    fun `the bytes of the optional fields of a heartbeat are fixed`() {
        val whole = Heartbeat("e", 1, 2, crashReports = listOf(CrashReport("i-1", 30, listOf("aabb"))), to = 9)
        val hex = "bf6466726f6d61656b696e6361726e6174696f6e016873657175656e6365026c63726173685265706f7274739fbf616563" +
            "692d316161181e61639f6461616262ffffff62746f09ff"
        assertEquals(hex, HexFormat.of().formatHex(peerCbor.encodeToByteArray(whole)))
        assertEquals(whole, peerCbor.decodeFromByteArray<Heartbeat>(HexFormat.of().parseHex(hex)))
    }

    @Test
    fun `the bytes of the overload in a heartbeat are fixed, and without overload there are none`() {
        val whole = Heartbeat("e", 1, 2, pressure = 1.5, overloaded = listOf(7))
        val start = "bf6466726f6d61656b696e6361726e6174696f6e016873657175656e636502"
        val hex = start + "687072657373757265fb3ff80000000000006a6f7665726c6f616465649f07ffff"
        assertEquals(hex, HexFormat.of().formatHex(peerCbor.encodeToByteArray(whole)))
        assertEquals(whole, peerCbor.decodeFromByteArray<Heartbeat>(HexFormat.of().parseHex(hex)))
        assertEquals(start + "ff", HexFormat.of().formatHex(peerCbor.encodeToByteArray(Heartbeat("e", 1, 2))))
    }

    /** Guards against absent parts that take their defaults. */
    @Test
    fun `a message that is cut at any byte is unreadable`() {
        val whole = heartbeat.copy(ready = listOf(7), rates = emptyList(), to = 9)
        val bytes = peerCbor.encodeToByteArray(whole)
        val read = bytes.indices.filter { length ->
            runCatching { peerCbor.decodeFromByteArray<Heartbeat>(bytes.copyOf(length)) }.isSuccess
        }
        assertEquals(emptyList(), read)
    }

    @Test
    fun `the bytes of a member are fixed`() {
        val hex = "bf646e616d6568656467652d612d316b696e6361726e6174696f6e1b0000018bcfe56800647a6f6e6561616672656769" +
            "6f6e6172676973456e747279f56269706931302e312e302e31316870656572506f7274191e646763616c6c6572736e31" +
            "302e312e302e31313a38333638ff"
        assertEquals(hex, HexFormat.of().formatHex(peerCbor.encodeToByteArray(member)))
        assertEquals(member, peerCbor.decodeFromByteArray<Member>(HexFormat.of().parseHex(hex)))
    }

    @Test
    fun `the stored text of a member is fixed`() {
        val text = """{"name":"edge-a-1","incarnation":1700000000000,"zone":"a","region":"r","isEntry":true,""" +
            """"ip":"10.1.0.11","peerPort":7780,"callers":"10.1.0.11:8368"}"""
        val format = Json { ignoreUnknownKeys = true }
        assertEquals(text, format.encodeToJsonElement(Member.serializer(), member).toString())
        assertEquals(member, format.decodeFromJsonElement(Member.serializer(), Json.parseToJsonElement(text)))
    }
}
