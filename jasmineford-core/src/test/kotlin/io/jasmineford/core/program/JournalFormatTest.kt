package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.ScopedName
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards the stored JSON of journal segments. Decoders ignore unknown keys, so a renamed property would lose data
 * silently.
 */
class JournalFormatTest {
    private val program = ProgramId(ScopedName("org", "acct"), "p/sub")
    private val programText = """{"account":{"organisation":"org","name":"acct"},"name":"p/sub"}"""
    private val message = Message("user", "hi")
    private val messageText = """{"role":"user","content":"hi"}"""
    private val usage = Usage(31, 32, 33)
    private val usageText = """{"prompt":31,"completion":32,"cached":33}"""
    private val reply = EffectReply(503, "text/plain", "ok", Reason.ENDPOINT_FAILED, false)
    private val replyText =
        """{"status":503,"contentType":"text/plain","body":"ok","reason":"ENDPOINT_FAILED","isBodyKept":false}"""
    private val effect = Effect(4, "d1", Outcome.RESULT, reply)
    private val effectText = """{"turn":4,"requestDigest":"d1","outcome":"RESULT","reply":$replyText}"""
    private val ref = HistoryRef("history/1", 9)
    private val refText = """{"key":"history/1","messages":9}"""
    private val budget = ProgramBudget(41, 42, 43)
    private val budgetText = """{"calls":41,"tokens":42,"wallTimeSeconds":43}"""
    private val state = ProgramState(
        "p",
        budget,
        5,
        listOf(ref),
        listOf(message),
        51,
        "d2",
        52,
        53,
        54,
        true,
        mapOf("k" to effect),
        LastTurn(4, "d3", usage),
    )
    private val stateText = text(
        """
        {"parent":"p","budget":$budgetText,"nextTurn":5,"stored":[$refText],"messages":[$messageText],"chars":51,
        "digest":"d2","calls":52,"tokens":53,"elapsedMs":54,"isClosed":true,"effects":{"k":$effectText},
        "last":{"turn":4,"requestDigest":"d3","usage":$usageText}}
        """,
    )

    private val records: List<Pair<JournalRecord, String>> = listOf(
        JournalRecord.ShardAdopting(1, 2) to """{"type":"adopting","shard":1,"epoch":2}""",
        JournalRecord.ShardAdopted(3, 4) to """{"type":"adopted","shard":3,"epoch":4}""",
        ProgramRecord.ProgramOpened(program, "p", budget) to
            """{"type":"opened","program":$programText,"parent":"p","budget":$budgetText}""",
        ProgramRecord.TurnCommitted(program, 5, listOf(message), usage, "d4", "d5", 6) to text(
            """
            {"type":"turn","program":$programText,"turn":5,"messages":[$messageText],"usage":$usageText,
            "digest":"d4","requestDigest":"d5","elapsedMs":6}
            """,
        ),
        ProgramRecord.IntentRecorded(program, 7, "k", "d6") to
            """{"type":"intent","program":$programText,"turn":7,"idempotencyKey":"k","requestDigest":"d6"}""",
        ProgramRecord.OutcomeRecorded(program, 8, "k", Outcome.FAILED_RUN, reply, 9) to text(
            """
            {"type":"outcome","program":$programText,"turn":8,"idempotencyKey":"k","outcome":"FAILED_RUN",
            "reply":$replyText,"elapsedMs":9}
            """,
        ),
        ProgramRecord.BudgetSpent(program, 10, 11, 12) to
            """{"type":"spent","program":$programText,"calls":10,"tokens":11,"elapsedMs":12}""",
        ProgramRecord.HistoryStored(program, ref) to """{"type":"stored","program":$programText,"ref":$refText}""",
        ProgramRecord.ProgramClosed(program) to """{"type":"closed","program":$programText}""",
        ProgramRecord.Checkpoint(program, state) to
            """{"type":"checkpoint","program":$programText,"state":$stateText}""",
        ProgramRecord.CheckpointPart(program, listOf(message), mapOf("k" to effect)) to
            """{"type":"part","program":$programText,"messages":[$messageText],"effects":{"k":$effectText}}""",
    )

    @Test
    fun `each record is stored under fixed names`() {
        for ((record, expected) in records) {
            assertEquals(expected, journalJson.encodeToString<JournalRecord>(record))
            assertEquals(record, journalJson.decodeFromString<JournalRecord>(expected))
        }
    }

    @Test
    fun `a segment is stored under fixed names`() {
        val segment = Segment(13, records.map { it.first }, true)
        val expected = """{"sequence":13,"records":[${records.joinToString(",") { it.second }}],"isSeal":true}"""
        assertEquals(expected, journalJson.encodeToString(segment))
        assertEquals(segment, journalJson.decodeFromString(expected))
    }

    @Test
    fun `a program's state and a kept answer are stored under fixed names`() {
        assertEquals(stateText, journalJson.encodeToString(state))
        assertEquals(state, journalJson.decodeFromString(stateText))
        assertEquals(replyText, journalJson.encodeToString(reply))
        assertEquals(reply, journalJson.decodeFromString(replyText))
    }

    /** The lines of a literal joined to one JSON text. */
    private fun text(lines: String): String = lines.lines().joinToString("") { it.trim() }
}
