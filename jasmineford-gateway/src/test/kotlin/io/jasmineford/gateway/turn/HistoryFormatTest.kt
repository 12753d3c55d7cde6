package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the messages, log records, stored objects and printed values that other versions and tools read. */
class HistoryFormatTest {
    private val program = ProgramKey("acme", "p1")
    private val tokens = TokenEntry(program, "a1", 571, true, 1_700_000_000_123)
    private val turn = TurnRecord("t2", "acme", "t1", "in".toByteArray(), "out".toByteArray())
    private val state = HistoryStatus(7, true)
    private val entry = HistoryEntry(tokens, turn, state)

    @TempDir
    lateinit var directory: Path

    private fun ByteArray.hex() = joinToString("") { "%02x".format(it) }

    private fun bytesOf(hex: String) = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()

    /** Encodes [request], compares it with [hex], and decodes and encodes the bytes once more. */
    private fun checkRequest(hex: String, request: HistoryRequest) {
        assertEquals(hex, peerCbor.encodeToByteArray(RequestFrame(300, 7, request)).hex())
        val decoded = peerCbor.decodeFromByteArray<RequestFrame>(bytesOf(hex))
        assertEquals(request::class, decoded.request::class)
        assertEquals(hex, peerCbor.encodeToByteArray(decoded).hex())
    }

    /** Encodes [reply], compares it with [hex], and decodes and encodes the bytes once more. */
    private fun checkReply(hex: String, reply: HistoryReply) {
        assertEquals(hex, peerCbor.encodeToByteArray(ReplyFrame(300, reply)).hex())
        val decoded = peerCbor.decodeFromByteArray<ReplyFrame>(bytesOf(hex))
        assertEquals(reply::class, decoded.reply::class)
        assertEquals(hex, peerCbor.encodeToByteArray(decoded).hex())
    }

    @Test
    fun `requests are encoded as CBOR`() {
        checkRequest(
            "bf666e756d62657219012c6565706f63680767726571756573749f6772657365727665bf65656e747279bf67" +
                "70726f6772616dbf676163636f756e746461636d656770726f6772616d627031ff67617474656d7074626131" +
                "66746f6b656e7319023b696973536574746c6564f570726573657276656441744d696c6c69731b0000018bcf" +
                "e5687bffffffff",
            HistoryRequest.Reserve(tokens),
        )
        checkRequest(
            "bf666e756d62657219012c6565706f63680767726571756573749f66746f6b656e73bf6770726f6772616dbf" +
                "676163636f756e746461636d656770726f6772616d627031ffffffff",
            HistoryRequest.Tokens(program),
        )
        checkRequest(
            "bf666e756d62657219012c6565706f63680767726571756573749f6666696e697368bf66746f6b656e73bf67" +
                "70726f6772616dbf676163636f756e746461636d656770726f6772616d627031ff67617474656d7074626131" +
                "66746f6b656e7319023b696973536574746c6564f570726573657276656441744d696c6c69731b0000018bcf" +
                "e5687bff647475726ebf626964627432676163636f756e746461636d656870726576696f757362743165696e" +
                "70757442696e666f7574707574436f7574ffffffff",
            HistoryRequest.Finish(tokens, turn),
        )
        checkRequest(
            "bf666e756d62657219012c6565706f63680767726571756573749f65636861696ebf62696462743267616363" +
                "6f756e746461636d65ffffff",
            HistoryRequest.Chain("t2", "acme"),
        )
        checkRequest(
            "bf666e756d62657219012c6565706f63680767726571756573749f64636f7079bf6466726f6d184066726561" +
                "646572626831ffffff",
            HistoryRequest.Copy(64, "h1"),
        )
    }

    @Test
    fun `replies are encoded as CBOR`() {
        checkReply(
            "bf666e756d62657219012c657265706c799f687265736572766564bf65746f74616c19047666646967657374" +
                "3b0000000218711a00ffffff",
            HistoryReply.Reserved(1142, -9_000_000_001),
        )
        checkReply(
            "bf666e756d62657219012c657265706c799f66746f6b656e73bf67656e74726965739fbf6770726f6772616d" +
                "bf676163636f756e746461636d656770726f6772616d627031ff67617474656d707462613166746f6b656e73" +
                "19023b696973536574746c6564f570726573657276656441744d696c6c69731b0000018bcfe5687bffffffff" +
                "ff",
            HistoryReply.Tokens(listOf(tokens)),
        )
        checkReply(
            "bf666e756d62657219012c657265706c799f6866696e6973686564bfffffff",
            HistoryReply.Finished,
        )
        checkReply(
            "bf666e756d62657219012c657265706c799f657475726e73bf657475726e739fbf626964627432676163636f" +
                "756e746461636d656870726576696f757362743165696e70757442696e666f7574707574436f7574ffff676d" +
                "697373696e67627431ffffff",
            HistoryReply.Turns(listOf(turn), "t1"),
        )
        checkReply(
            "bf666e756d62657219012c657265706c799f66636f70696564bf67656e74726965739fbf66746f6b656e73bf" +
                "6770726f6772616dbf676163636f756e746461636d656770726f6772616d627031ff67617474656d70746261" +
                "3166746f6b656e7319023b696973536574746c6564f570726573657276656441744d696c6c69731b0000018b" +
                "cfe5687bff647475726ebf626964627432676163636f756e746461636d656870726576696f75736274316569" +
                "6e70757442696e666f7574707574436f7574ff687374616e64696e67bf6565706f6368076a6973436f6d706c" +
                "657465f5ffffff646e6578741841656973456e64f5ffffff",
            HistoryReply.Copied(listOf(entry), 65, true),
        )
        checkReply(
            "bf666e756d62657219012c657265706c799f657374616c65bf6565706f636808ffffff",
            HistoryReply.StaleGroup(8),
        )
        checkReply(
            "bf666e756d62657219012c657265706c799f6a696e636f6d706c657465bfffffff",
            HistoryReply.Incomplete,
        )
    }

    @Test
    fun `a log record is the length, the CRC-32 and the CBOR of an entry`() {
        val record =
            "bf66746f6b656e73bf6770726f6772616dbf676163636f756e746461636d656770726f6772616d627031ff67" +
                "617474656d707462613166746f6b656e7319023b696973536574746c6564f570726573657276656441744d69" +
                "6c6c69731b0000018bcfe5687bff647475726ebf626964627432676163636f756e746461636d656870726576" +
                "696f757362743165696e70757442696e666f7574707574436f7574ff687374616e64696e67bf6565706f6368" +
                "076a6973436f6d706c657465f5ffff"
        assertEquals(record, peerCbor.encodeToByteArray(entry).hex())
        HistoryLog(directory).use { it.append(listOf(entry)) }
        val file = directory.resolve("history.log").toFile()
        assertEquals("000000bffcc81b28" + record, file.readBytes().hex())
        val read = ArrayList<HistoryEntry>()
        HistoryLog(directory).use { log -> log.replay { read.add(it) } }
        assertEquals(record, peerCbor.encodeToByteArray(read.single()).hex())
    }

    @Test
    fun `a group is stored as JSON`() {
        val group = HistoryGroup(7, listOf("h1", "h2", "h3"))
        val json = """{"epoch":7,"voters":["h1","h2","h3"]}"""
        assertEquals(json, Json.encodeToString(HistoryGroup.serializer(), group))
        assertEquals(group, Json.decodeFromString(HistoryGroup.serializer(), json))
        val changed = HistoryGroup(8, listOf("h2", "h3", "h4"), mapOf("h4" to 8L), listOf(group.generation))
        val changedJson = """{"epoch":8,"voters":["h2","h3","h4"],"joinedAt":{"h4":8},""" +
            """"earlier":[{"h1":0,"h2":0,"h3":0}]}"""
        assertEquals(changedJson, Json.encodeToString(HistoryGroup.serializer(), changed))
        assertEquals(changed, Json.decodeFromString(HistoryGroup.serializer(), changedJson))
    }

    @Test
    fun `a status of the release before is complete since its epoch, or holds nothing of older epochs`() {
        val complete = """{"epoch":7,"isComplete":true}"""
        val incomplete = """{"epoch":7,"isComplete":false}"""
        assertEquals(HistoryStatus(7, true, 7, 0, 0), Json.decodeFromString(HistoryStatus.serializer(), complete))
        assertEquals(HistoryStatus(7, false, -1, 0, 7), Json.decodeFromString(HistoryStatus.serializer(), incomplete))
    }

    @Test
    fun `the digest of token entries that daemons compare does not depend on the process`() {
        assertEquals(596634835, tokens.hashCode())
        val digests = listOf(tokens, TokenEntry(program, "a2", 1, false, 0)).map { it.hashCode().toLong() }
        val history = HistoryState()
        history.apply(HistoryEntry(tokens))
        history.apply(HistoryEntry(TokenEntry(program, "a2", 1, false, 0)))
        assertEquals(digests.sum(), history.tokens(program).digest)
    }

    @Test
    fun `values that log lines contain are printed with these names`() {
        assertEquals("Granted", Reservation.Granted.toString())
        assertEquals("BudgetSpent(total=1142, isContested=true)", Reservation.BudgetSpent(1142, true).toString())
        assertEquals("Unknown", Reservation.Unknown.toString())
        assertEquals("HistoryStanding(epoch=7, isComplete=true)", state.toString())
    }
}
