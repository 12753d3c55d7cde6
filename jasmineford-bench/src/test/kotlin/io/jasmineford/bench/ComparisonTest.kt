package io.jasmineford.bench

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON that `bench compare --format json` prints. */
class ComparisonTest {
    @Test
    fun `a row is encoded and decoded with every field and every verdict`() {
        for (verdict in listOf("WORSE", "BETTER", "ADDED", "REMOVED", "SAME")) {
            val row = ComparisonRow("s", "v", "m", "ms", 7, Verdict.valueOf(verdict), 2.0, 3.0, 50.0, true)
            val text = """{"scenario":"s","variant":"v","measure":"m","unit":"ms","seed":7,"verdict":"$verdict",""" +
                """"old":2.0,"new":3.0,"changePercent":50.0,"isBoundExceeded":true}"""
            assertEquals(text, Json.encodeToString(row))
            assertEquals(row, Json.decodeFromString<ComparisonRow>(text))
        }
    }

    @Test
    fun `a row of a measure that one run lacks has explicit nulls`() {
        val row = ComparisonRow("s", "v", "m", "ms", 7, Verdict.ADDED, null, null, null, false)
        val text = """{"scenario":"s","variant":"v","measure":"m","unit":"ms","seed":7,"verdict":"ADDED",""" +
            """"old":null,"new":null,"changePercent":null,"isBoundExceeded":false}"""
        assertEquals(text, Json.encodeToString(row))
        assertEquals(row, Json.decodeFromString<ComparisonRow>(text))
    }
}
