package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToByteArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShortKeyTest {
    /** Guards against callers whose long program names keep heartbeats from fitting into a datagram. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `heartbeats fit into a datagram whatever names callers give their programs`() {
        val activity = ProgramActivity(VirtualClock())
        repeat(PROGRAMS) { activity.recordCall(programKey(null, "p".repeat(NAME_CHARS) + it)) }
        val programs = activity.takeChanges()
        assertEquals(PROGRAMS, programs.size)
        val heartbeat = Heartbeat("edge-1", 1, 1, isReady = true, isLeaving = false, programs = programs)
        assertTrue(peerCbor.encodeToByteArray(heartbeat).size < MAX_DATAGRAM_BYTES)
    }

    @Test
    fun `short names stay as they are`() = assertEquals("p".repeat(160), shortKey("p".repeat(160)))

    private companion object {
        const val PROGRAMS = 20
        const val NAME_CHARS = 7000
        const val MAX_DATAGRAM_BYTES = 65_507
    }
}
