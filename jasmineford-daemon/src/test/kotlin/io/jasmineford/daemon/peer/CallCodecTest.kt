package io.jasmineford.daemon.peer

import com.google.protobuf.ByteString
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.key.KeyDigest
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.CallEvent
import io.jasmineford.daemon.call.HeaderField
import io.jasmineford.protocol.CallEnd
import io.jasmineford.protocol.CallHead
import io.jasmineford.protocol.ForwardedCall
import io.jasmineford.protocol.Header
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import io.jasmineford.protocol.CallEvent as EventMessage

/** Pins the messages of forwarded calls. */
class CallCodecTest {
    private val header = Header.newBuilder().setName("Jasmineford-Turn").setValue("1").build()
    private val body = ByteString.copyFromUtf8("body")

    @Test
    fun `a forwarded call`() {
        val digest = KeyDigest("ab".repeat(32))
        val call = Call(
            "r1", ScopedName("org", "shop"), digest, "POST", "/services/once/a?b=c",
            listOf(HeaderField("Jasmineford-Turn", "1")), body.toByteArray(), 9.seconds, 1, 5,
        )
        val message = call.toMessage("a-1", 6, 2.seconds)
        val expected = ForwardedCall.newBuilder()
            .setRequestId("r1").setFromVm("a-1").setMethod("POST").setPath("/services/once/a?b=c").addHeaders(header)
            .setBody(body).setClientAccount("org/shop").setKeyDigest("ab".repeat(32)).setDeadlineMs(7_000).setHops(2)
            .setGeneration(6)
            .build()
        assertEquals(expected, message)
        val received = message.toCall(1.seconds)
        assertEquals(expected.toBuilder().setHops(3).build(), received.toMessage("a-1", received.generation, 1.seconds))
    }

    @Test
    fun `each event of an answer`() {
        val messages = listOf(
            EventMessage.newBuilder().setHead(CallHead.newBuilder().setStatus(201).addHeaders(header)).build(),
            EventMessage.newBuilder().setData(body).build(),
            EventMessage.newBuilder()
                .setEnd(CallEnd.newBuilder().setOutcome("FAILED_RUN").setReason("ENDPOINT_FAILED"))
                .build(),
        )
        val events = listOf(
            CallEvent.Head(201, listOf(HeaderField("Jasmineford-Turn", "1"))),
            CallEvent.Data(body.toByteArray()),
            CallEvent.End(Outcome.FAILED_RUN, Reason.ENDPOINT_FAILED),
        )
        assertEquals(messages, events.map { it.toMessage() })
        assertEquals(messages, messages.map { it.toEvent().toMessage() })
        assertEquals(events.last(), messages.last().toEvent())
    }
}
