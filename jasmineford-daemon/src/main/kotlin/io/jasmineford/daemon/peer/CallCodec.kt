package io.jasmineford.daemon.peer

import com.google.protobuf.ByteString
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.key.KeyDigest
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.HeaderField
import io.jasmineford.protocol.CallEnd
import io.jasmineford.protocol.CallHead
import io.jasmineford.protocol.ForwardedCall
import io.jasmineford.protocol.Header
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import io.jasmineford.daemon.call.CallEvent as Event
import io.jasmineford.protocol.CallEvent as EventMessage

/** Converts this call for forwarding; the deadline becomes the time left at [now]. */
internal fun Call.toMessage(fromVm: String, generation: Long, now: Duration): ForwardedCall = ForwardedCall.newBuilder()
    .setRequestId(requestId)
    .setFromVm(fromVm)
    .setMethod(method)
    .setPath(path)
    .addAllHeaders(headers.map { it.toMessage() })
    .setBody(ByteString.copyFrom(body))
    .setClientAccount(account.toString())
    .setKeyDigest(keyDigest?.hex.orEmpty())
    .setDeadlineMs((deadline - now).inWholeMilliseconds)
    .setHops(hops + 1)
    .setGeneration(generation)
    .build()

/** Converts a forwarded call; its deadline is counted from [now] on this VM's monotonic clock. */
internal fun ForwardedCall.toCall(now: Duration): Call = Call(
    requestId = requestId,
    account = ScopedName(clientAccount.substringBefore('/'), clientAccount.substringAfter('/')),
    keyDigest = keyDigest.takeIf { it.isNotEmpty() }?.let { KeyDigest(it) },
    method = method,
    path = path,
    headers = headersList.map { HeaderField(it.name, it.value) },
    body = body.toByteArray(),
    deadline = now + deadlineMs.milliseconds,
    hops = hops,
    generation = generation,
)

internal fun Event.toMessage(): EventMessage = when (this) {
    is Event.Head -> EventMessage.newBuilder()
        .setHead(CallHead.newBuilder().setStatus(status).addAllHeaders(headers.map { it.toMessage() }))
        .build()

    is Event.Data -> EventMessage.newBuilder().setData(ByteString.copyFrom(bytes)).build()

    is Event.End -> EventMessage.newBuilder()
        .setEnd(CallEnd.newBuilder().setOutcome(outcome.name).setReason(reason?.name.orEmpty()))
        .build()
}

internal fun EventMessage.toEvent(): Event = when (eventCase) {
    EventMessage.EventCase.HEAD -> Event.Head(head.status, head.headersList.map { HeaderField(it.name, it.value) })
    EventMessage.EventCase.DATA -> Event.Data(data.toByteArray())
    else -> Event.End(Outcome.valueOf(end.outcome), end.reason.takeIf { it.isNotEmpty() }?.let { Reason.valueOf(it) })
}

private fun HeaderField.toMessage(): Header = Header.newBuilder().setName(name).setValue(value).build()
