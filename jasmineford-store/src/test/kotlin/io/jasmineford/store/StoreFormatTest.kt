package io.jasmineford.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON of the object API: unknown keys are ignored, so a renamed property would be lost without an error. */
class StoreFormatTest {
    private val stored = StoredObject("leases/a-1", 42, "n1", "text")
    private val storedJson = """{"key":"leases/a-1","version":42,"nonce":"n1","value":"text"}"""

    @Test
    fun `the body of a put`() = assertFormat(
        serializer(),
        PutRequest("text", 41, "n1"),
        """{"value":"text","resourceVersion":41,"nonce":"n1"}""",
    )

    @Test
    fun `the body of an error reply`() = assertFormat(
        serializer(),
        StoreErrorBody("conflict", stored, 7),
        """{"message":"conflict","current":$storedJson,"oldestRevision":7}""",
    )

    @Test
    fun `a page of stored objects`() = assertFormat(
        serializer(),
        ObjectPage(listOf(stored), 43, "next"),
        """{"objects":[$storedJson],"revision":43,"continueToken":"next"}""",
    )

    @Test
    fun `a watch event`() =
        assertFormat(serializer(), WatchEvent(stored, true), """{"changed":$storedJson,"deleted":true}""")

    @Test
    fun `a listed VM in each condition`() = assertFormat(
        serializer(),
        listOf(VmListing("a-1", "a", VmCondition.LIVE), VmListing("b-1", "b", VmCondition.LEAVING)),
        """[{"name":"a-1","availabilityZone":"a","condition":"LIVE"},""" +
            """{"name":"b-1","availabilityZone":"b","condition":"LEAVING"}]""",
    )

    private fun <T> assertFormat(serializer: KSerializer<T>, value: T, json: String) {
        assertEquals(json, storeJson.encodeToString(serializer, value))
        assertEquals(value, storeJson.decodeFromString(serializer, json))
    }
}
