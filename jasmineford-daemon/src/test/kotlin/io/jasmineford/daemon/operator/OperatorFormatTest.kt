package io.jasmineford.daemon.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON that operators' tools read. */
class OperatorFormatTest {
    @Test
    fun `the status of a daemon`() = assertFormat(
        serializer(),
        DaemonStatus("a-1", "a", 3, 40, true, true, 5, 6, 7, listOf(PeerStatus("b-1", "b", "o:1", true, true))),
        """{"vm":"a-1","zone":"a","generation":3,"proofAgeMs":40,"isLeaseValid":true,"isLeaving":true,"shards":5,""" +
            """"programs":6,"segmentsWritten":7,"peers":[{"vm":"b-1","zone":"b","operatorAddress":"o:1",""" +
            """"isLeaving":true,"isRevoked":true}]}""",
    )

    @Test
    fun `the answer to a change of configuration`() = assertFormat(
        serializer(),
        PublishReply(true, 9, listOf("first", "second")),
        """{"isAccepted":true,"generation":9,"errors":["first","second"]}""",
    )

    private fun <T> assertFormat(serializer: KSerializer<T>, value: T, json: String) {
        assertEquals(json, Json.encodeToString(serializer, value))
        assertEquals(value, Json.decodeFromString(serializer, json))
    }
}
