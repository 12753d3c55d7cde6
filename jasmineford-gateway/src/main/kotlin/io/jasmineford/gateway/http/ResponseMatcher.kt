package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/**
 * What the response to a request has to bear.
 *
 * @property idHeader header in which the server echoes [id].
 * @property signatureHeader header of each success.
 * @property notExecutedHeader header of a response to a request that was not executed.
 */
data class ResponseIdentity(
    val idHeader: String,
    val id: String,
    val signatureHeader: String,
    val notExecutedHeader: String,
)

/** What a response tells of the request it belongs to. */
enum class ResponseMeaning {
    /** The request was executed, or may have been. */
    EXECUTED,

    /** The request was not executed. */
    NOT_EXECUTED,

    /** The status is one that promises that the request was not executed, but the server doesn't state it. */
    UNPROVEN_REFUSAL,
}

/** To which request the head of a response belongs. */
sealed interface HeadVerdict {
    /** The response to the request in flight. */
    data class Own(val meaning: ResponseMeaning) : HeadVerdict

    /** An interim response, which is skipped. */
    data object Interim : HeadVerdict

    /** A response to no request or to another one, which is skipped; the connection is not used again. */
    data object Unmatched : HeadVerdict

    /** Bytes that are no response; nothing behind them can be matched. */
    data class Invalid(val reason: String) : HeadVerdict
}

/** To which request a part of a body belongs. */
enum class BodyVerdict {
    /** A part of the response to the request in flight. */
    OWN,

    /** A part of a response that is skipped. */
    UNMATCHED,

    /** The response to the request in flight has stopped, and another one has begun in its place. */
    INTERRUPTED,
}

/**
 * Decides which bytes of a connection belong to its request; without I/O.
 *
 * A response belongs to the request in flight if it starts after the request was sent and bears the request's id, once.
 * The id names a call, not one of its sendings, so a call must not go twice over one connection. Each byte outside the
 * responses to a request, before it is sent or after its response has ended, makes the connection unusable. A body is
 * not complete because it is as long as announced: the bytes of another response may have filled it. See
 * `docs/decisions/response-matching.md`.
 */
class ResponseMatcher {
    private enum class State { IDLE, AWAITING, SKIPPING, RECEIVING, ENDED }

    private var state = State.IDLE
    private var identity: ResponseIdentity? = null
    private var isHeadRequest = false
    private var isAtStart = false
    private var skippedHeads = 0
    private var skippedBytes = 0L
    private var readNumber = 0
    private var sentRead = 0
    private var endRead = 0
    private var detector: InterruptionDetector? = null

    /** Whether the connection has carried bytes that belong to no request, or must not be used again otherwise. */
    var isTainted = false
        private set

    /** Whether a request waits for its response or for the end of it. */
    val isBusy: Boolean get() = state == State.AWAITING || state == State.SKIPPING || state == State.RECEIVING

    /** Whether the response is complete, but not all bytes that came with it have been looked at. */
    val isEnded: Boolean get() = state == State.ENDED

    /** Number of reads from the connection since the request was sent, up to the one that ended it. */
    val reads: Int get() = (if (isBusy) readNumber else endRead) - sentRead

    /** What may have filled the body of the response that has ended; null if it is whole. */
    var interruption: Interruption? = null
        private set

    /** Whether the next bytes decide whether the response that has ended is interrupted. */
    val mayBeInterrupted: Boolean get() = detector?.dependsOnNextBytes == true

    /** Whether a request may be sent. */
    val isReusable: Boolean get() = state == State.IDLE && !isTainted

    /** Called when a request is sent. A null [identity] accepts every final response, of a server without ids. */
    fun requestSent(identity: ResponseIdentity?, method: HttpMethod) {
        check(state == State.IDLE) { "the connection already carries a request" }
        this.identity = identity
        isHeadRequest = method == HttpMethod.HEAD
        state = State.AWAITING
        isAtStart = true
        skippedHeads = 0
        skippedBytes = 0
        sentRead = readNumber
        detector = null
        interruption = null
    }

    /** Called when bytes have been read from the connection, before any of them is decoded. */
    fun readStarted() {
        readNumber++
        detector?.readStarted()
    }

    /** Called when the read began with other bytes than those of a body, such as the size of a chunk. */
    fun readBeganBeforeBody() {
        detector?.readBeganBeforeBody()
    }

    /** Called before [bytes] are decoded, at least one. */
    fun bytesArrived(bytes: ByteBuf) {
        val isInvalidStart = isAtStart && bytes.getByte(bytes.readerIndex()) != FIRST_BYTE
        if (!isBusy || isInvalidStart) isTainted = true
        isAtStart = false
        if (isEnded && interruption == null) interruption = detector?.interruptionBehind(bytes)
    }

    /** Excludes the connection from further use. */
    fun taint() {
        isTainted = true
    }

    /** Whether [head] starts a response without a body because of its request. */
    fun isWithoutBody(head: HttpResponse): Boolean =
        isHeadRequest && isBusy && verdictOf(head, identity) is HeadVerdict.Own

    /** Called for the head of each response. */
    fun headArrived(head: HttpResponse): HeadVerdict {
        val verdict = if (isBusy) verdictOf(head, identity) else HeadVerdict.Unmatched
        when (verdict) {
            is HeadVerdict.Own -> {
                state = State.RECEIVING
                detector = InterruptionDetector(head, identity?.idHeader)
            }
            is HeadVerdict.Interim -> state = State.SKIPPING
            is HeadVerdict.Unmatched -> {
                isTainted = true
                if (isBusy) state = State.SKIPPING
            }
            is HeadVerdict.Invalid -> isTainted = true
        }
        val isSkipped = verdict is HeadVerdict.Interim || verdict is HeadVerdict.Unmatched
        if (isSkipped && ++skippedHeads > MAX_SKIPPED_HEADS) return HeadVerdict.Invalid("responses without end")
        return verdict
    }

    /** Called for each [part] of a body. */
    fun bodyArrived(part: ByteBuf): BodyVerdict {
        if (state != State.RECEIVING) {
            skippedBytes += part.readableBytes()
            return BodyVerdict.UNMATCHED
        }
        return if (detector?.isInterruptedBy(part) == true) BodyVerdict.INTERRUPTED else BodyVerdict.OWN
    }

    /** Whether more bytes were skipped than a response to another request has. */
    val hasSkippedTooMuch: Boolean get() = skippedBytes > MAX_SKIPPED_BYTES

    /** Called at the end of each response, with the [trailers] of its chunks; whether it was the one to the request. */
    fun endArrived(trailers: HttpHeaders): Boolean {
        val isOwn = state == State.RECEIVING
        if (isOwn && trailers.holdStatusLine()) interruption = Interruption.RESPONSE
        isAtStart = true
        endRead = readNumber
        state = when (state) {
            State.RECEIVING -> State.ENDED
            State.SKIPPING -> State.AWAITING
            else -> state
        }
        return isOwn
    }

    /** Called when the bytes that came with the end of the response have been looked at, or the request is given up. */
    fun requestDone() {
        if (isBusy) endRead = readNumber
        state = State.IDLE
    }

    internal companion object {
        /** Each response begins with its version; the decoder skips white space before it. */
        const val FIRST_BYTE = 'H'.code.toByte()

        /** Responses that are skipped while a request waits; a faulty server may send them without end. */
        private const val MAX_SKIPPED_HEADS = 32

        /** Bytes of bodies that are skipped while a request waits, as many as a response may have. */
        private const val MAX_SKIPPED_BYTES = 1024 * 1024L
    }
}

private const val FIRST_FINAL_STATUS = 200
private const val LAST_SUCCESS = 299
private const val MISDIRECTED = 421

/** Statuses that promise callers that a call has not run. */
private val REFUSALS = setOf(
    HttpResponseStatus.REQUEST_TIMEOUT.code(),
    HttpResponseStatus.TOO_MANY_REQUESTS.code(),
    HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
)

/** Interim statuses that a server may send without being asked. */
private val INTERIM = setOf(
    HttpResponseStatus.CONTINUE.code(),
    HttpResponseStatus.PROCESSING.code(),
    HttpResponseStatus.EARLY_HINTS.code(),
)
private const val CHUNKED = "chunked"
private const val PROTOCOL = "HTTP"

/** Start of each line that the decoder takes for a status line. */
private val STATUS_LINE = Regex("HTTP/\\d(\\.\\d)?[ \\t]+\\d{3}", RegexOption.IGNORE_CASE)
private val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)

private fun verdictOf(head: HttpResponse, identity: ResponseIdentity?): HeadVerdict {
    val status = head.status().code()
    return when {
        head.protocolVersion() !in VERSIONS -> HeadVerdict.Invalid("bytes before a response")
        head.status().reasonPhrase().hasStatusLine() || head.headers().holdStatusLine() ->
            HeadVerdict.Invalid("response inside the head of another one")
        head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).any { !it.equals(CHUNKED, ignoreCase = true) } ->
            HeadVerdict.Invalid("unknown transfer coding")
        status == HttpResponseStatus.SWITCHING_PROTOCOLS.code() -> HeadVerdict.Invalid("protocol was switched")
        status < FIRST_FINAL_STATUS && !head.isInterim(identity) -> HeadVerdict.Invalid("no valid interim response")
        status < FIRST_FINAL_STATUS -> HeadVerdict.Interim
        identity == null -> HeadVerdict.Own(ResponseMeaning.EXECUTED)
        else -> finalVerdictOf(status, head.headers(), identity)
    }
}

/**
 * Whether the response, whose status is below 200, announces another one. A response with a body or a signature is a
 * final one with a wrong status, and nothing would follow.
 */
private fun HttpResponse.isInterim(identity: ResponseIdentity?): Boolean =
    status().code() in INTERIM && !headers().contains(HttpHeaderNames.CONTENT_LENGTH) &&
        !headers().contains(HttpHeaderNames.TRANSFER_ENCODING) &&
        (identity == null || !headers().contains(identity.signatureHeader))

private fun finalVerdictOf(status: Int, headers: HttpHeaders, identity: ResponseIdentity): HeadVerdict {
    val ids = headers.getAll(identity.idHeader)
    val signatures = headers.getAll(identity.signatureHeader)
    val isSuccess = status in FIRST_FINAL_STATUS..LAST_SUCCESS
    return when {
        identity.id !in ids -> HeadVerdict.Unmatched
        ids.size > 1 || signatures.size > 1 -> HeadVerdict.Invalid("response with two identities")
        status == MISDIRECTED || headers.contains(identity.notExecutedHeader) ->
            HeadVerdict.Own(ResponseMeaning.NOT_EXECUTED)
        // Garbage from a faulty server may look like a success; only real successes carry the signature.
        isSuccess && signatures.none { it.isNotBlank() } -> HeadVerdict.Invalid("success without a signature")
        status in REFUSALS -> HeadVerdict.Own(ResponseMeaning.UNPROVEN_REFUSAL)
        else -> HeadVerdict.Own(ResponseMeaning.EXECUTED)
    }
}

/** A head that was cut short runs on into the status line of the next one. */
private fun String.hasStatusLine() = containsVersion() && STATUS_LINE.containsMatchIn(this)

/** Whether `HTTP/` occurs, in any case; looks only at slashes, since this runs for every header of every response. */
private fun String.containsVersion(): Boolean {
    var slash = indexOf('/')
    while (slash >= 0) {
        if (regionMatches(slash - PROTOCOL.length, PROTOCOL, 0, PROTOCOL.length, ignoreCase = true)) return true
        slash = indexOf('/', slash + 1)
    }
    return false
}

private fun HttpHeaders.holdStatusLine() = any { it.value.hasStatusLine() }
