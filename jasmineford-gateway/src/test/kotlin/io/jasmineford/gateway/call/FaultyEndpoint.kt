package io.jasmineford.gateway.call

import io.jasmineford.gateway.http.HttpClientConnection
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpResponse
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Response of an endpoint to one sending of a call.
 *
 * @property signature null for the endpoint's error pages.
 * @property isRun whether the endpoint has run the call.
 * @property isWhole whether the endpoint sends all of it and ends it in order.
 * @property lastEvent number of the event after which the sending asks for the stream; 0 for all of it.
 * @property type content type; null if it is not told.
 * @property isAsked whether it is what the sending asks for: no success without the events that are left of a stream.
 */
internal data class SentResponse(
    val call: String,
    val status: Int,
    val signature: String?,
    val isRun: Boolean,
    val body: String,
    val isWhole: Boolean,
    val lastEvent: Int = 0,
    val type: String? = null,
    val isAsked: Boolean = true,
)

/** Bytes of a response to [call] on [connection]. */
internal class ResponseCopy(val connection: FaultyEndpoint, val call: String, val bytes: String)

/** What the endpoints of a schedule share: their random numbers and all responses to each call, in their order. */
internal class EndpointRecord(
    val random: Random,
    val bodyOf: (String) -> String,
    val hasEvents: (String) -> Boolean,
) {
    /** Responses by call. */
    val responses = HashMap<String, ArrayList<SentResponse>>()

    /** All responses. */
    val copies = ArrayList<ResponseCopy>()

    /** Rules that the daemon has broken. */
    val violations = ArrayList<String>()

    fun isLikely(percent: Int) = random.nextInt(HUNDRED) < percent

    /** Number of the sending that [response] is going to answer. */
    fun numberOf(response: SentResponse) = responses[response.call].orEmpty().size

    private companion object {
        const val HUNDRED = 100
    }
}

/**
 * An endpoint's side of one connection. It answers each request and puts copies of earlier responses, responses to
 * other calls, parts of them, interim responses and noise before, between, inside and behind its responses.
 */
internal class FaultyEndpoint(
    private val record: EndpointRecord,
    onUnmatched: (HttpClientConnection, HttpResponse) -> Unit,
) {
    private class Step(val isForeign: Boolean, val act: () -> Unit)

    private val random = record.random
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val steps = ArrayDeque<Step>()
    private var underWay: ResponseCopy? = null
    private var pause = 0

    /** Whether a response was cut short: noise behind it that fills its body can't be told from the rest of it. */
    private var isMute = false

    /** Whether the connection carried bytes that belong to no request, or its last request was not answered whole. */
    private var isDirty = false

    /** The daemon's side. */
    val connection = HttpClientConnection(channel, onUnmatched).also { it.install() }

    /** Whether the connection is open. */
    val isOpen: Boolean get() = channel.isOpen

    /** Whether the daemon keeps a connection that it must not use again. */
    val isKeptThoughDirty: Boolean get() = isDirty && isOpen && !connection.isBusy

    /** Reads requests and sends the next part of the responses. */
    fun advance() {
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS)
        channel.runPendingTasks()
        readRequest()
        val maySend = isOpen && !isMute && steps.isEmpty()
        if (maySend && record.isLikely(IDLE_NOISE_PERCENT)) {
            send(foreign = noise(isBehind = !connection.isBusy))
        }
        if (pause > 0) {
            pause--
        } else {
            steps.removeFirstOrNull()?.let {
                isDirty = isDirty || (it.isForeign && isOpen)
                it.act()
            }
            if (record.isLikely(PAUSE_PERCENT)) pause = random.nextInt(MAX_PAUSE)
        }
        channel.runPendingTasks()
    }

    private fun readRequest() {
        val request = generateSequence { channel.readOutbound<ByteBuf>() }
            .joinToString("") { part -> part.toString(Charsets.UTF_8).also { part.release() } }
        if (request.isEmpty()) return
        val (head, body) = request.split(HEAD_END, limit = 2)
        val headers = head.lines().associate { it.substringBefore(": ").lowercase() to it.substringAfter(": ") }
        val id = headers.getValue("attempt")
        if (body != record.bodyOf(id)) record.violations += "$id was sent with another body"
        if (isDirty) record.violations += "$id was sent over a connection with bytes that belong to no request"
        respond(id, lastEvent = headers["last-event-id"]?.toInt() ?: 0)
    }

    private fun respond(id: String, lastEvent: Int) {
        val number = record.responses.getOrPut(id) { ArrayList() }.size
        val isStream = record.hasEvents(id)
        val text = if (isStream) eventsOf(id, lastEvent, number) else "body of $id in run $number ${filler()}"
        val signature = "seal-$id-$number"
        val success = SentResponse(id, OK, signature, isRun = true, text, isWhole = true, lastEvent)
            .copy(type = STREAM_TYPES.random(random).takeIf { isStream })
        val errorPage = success.copy(status = FAILED, signature = null, body = "error page $number", type = null)
        val notRun = errorPage.copy(status = REFUSED, isRun = false, body = "full")
        if (isStream && record.isLikely(if (lastEvent > 0) TAKE_UP_PERCENT else NO_STREAM_PERCENT)) {
            answerOtherwise(success, errorPage, notRun)
            return
        }
        when (random.nextInt(BEHAVIOURS)) {
            0, 1 -> answer(notRun)
            2 -> answer(notRun.copy(status = MISDIRECTED))
            3 -> answer(errorPage.copy(signature = signature))
            4 -> answer(errorPage)
            5 -> answer(errorPage.copy(status = REFUSED))
            6 -> {
                record.responses.getValue(id) += success.copy(isWhole = false)
                end(mayClose = true)
            }
            else -> answer(success)
        }
    }

    /** Answers a sending that asks for the rest of a stream with something else than the events that are left. */
    private fun answerOtherwise(success: SentResponse, errorPage: SentResponse, notRun: SentResponse) {
        val none = success.copy(body = "", isAsked = success.lastEvent == EVENTS)
        when (random.nextInt(OTHERWISE_KINDS)) {
            0 -> answer(none)
            // A text of no type that reads as an event is one.
            1 -> answer(none.copy(body = (TEXTS + EVENT_TEXT).random(random), type = "text/plain", isAsked = false))
            2 -> answer(none.copy(body = TEXTS.random(random), type = null, isAsked = false))
            3 -> answer(success.copy(body = NO_EVENT + success.body, isAsked = false))
            4 -> answer(none.copy(status = NO_CONTENT, isAsked = false), Framing.LENGTH)
            5 -> answer(errorPage.copy(status = listOf(FAILED, NOT_FOUND, FOUND, REFUSED).random(random)))
            6 -> answer(notRun)
            7 -> {
                record.responses.getValue(success.call) += success.copy(isWhole = false)
                send(foreign = noise(isBehind = false))
                end(mayClose = true)
            }
            else -> answer(success.copy(body = eventsOf(success.call, 0, record.numberOf(success))))
        }
    }

    private fun eventsOf(id: String, lastEvent: Int, number: Int) = (lastEvent + 1..EVENTS).joinToString("") {
        "id: $it\ndata: $id/$it of run $number ${filler()}\n\n"
    }

    /** Makes bodies long enough for the head of another response to fit into the rest of them. */
    private fun filler() = "-".repeat(random.nextInt(MAX_FILLER))

    private fun answer(response: SentResponse, framing: Framing = Framing.entries.random(random)) {
        val whole = response.bytes(framing)
        val isInterrupted = record.isLikely(INTERRUPTED_PERCENT)
        val cut = if (record.isLikely(CUT_PERCENT)) random.nextInt(whole.length) else whole.length
        val resets = framing == Framing.CLOSE && record.isLikely(RESET_PERCENT)
        val sent = response.copy(isWhole = !isInterrupted && cut == whole.length && !resets)
        record.responses.getValue(sent.call) += sent
        if (record.isLikely(NOISE_PERCENT)) send(foreign = noise(isBehind = false))
        if (record.isLikely(NOISE_PERCENT)) send(INTERIM)
        underWay = ResponseCopy(this, sent.call, whole).also(record.copies::add)
        when {
            isInterrupted -> interrupt(sent, whole, framing)
            sent.isWhole -> sendWhole(whole, framing)
            resets -> {
                send(whole.take(cut))
                steps += Step(isForeign = true, ::reset)
            }
            else -> {
                send(whole.take(cut))
                end(framing.tellsCut(whole.take(cut), record.hasEvents(sent.call) && sent.status == OK))
            }
        }
    }

    /**
     * Stops inside [response], of which [whole] are the bytes, and goes on with other responses: all at once or after a
     * pause, in a read of its own. Then the connection ends in any way, or the endpoint goes on serving.
     */
    private fun interrupt(response: SentResponse, whole: String, framing: Framing) {
        isMute = true
        val others = List(1 + random.nextInt(MAX_OTHERS)) { otherThan(response, whole) }
        val head = whole.indexOf(HEAD_END) + HEAD_END.length
        val edges = whole.indices.filter { it > head && whole.startsWith(EVENT_END, it - EVENT_END.length) }
        val cut = cutOf(whole, head, edges, fills = others.sumOf { it.length })
        if (cut >= head && framing != Framing.CLOSE && record.isLikely(FILLING_PERCENT)) {
            // Limit: noise that fills a body to exactly its length.
            val noise = "noise".padEnd(whole.length - cut + 1, '-')
            // In the read of the part before it, or in one of its own.
            if (cut % 2 == 0) {
                send(whole.take(cut), foreign = noise, splitAt = 0)
            } else {
                send(whole.take(cut))
                send(foreign = noise, splitAt = 0)
            }
            end(mayClose = true)
            return
        }
        val isAtEvent = framing != Framing.CHUNKED && record.hasEvents(response.call) && cut in edges
        // Limit: a response without an id that was read together with the part of the body before it.
        val isOwnRead = (others.first() in WITHOUT_ID && !isAtEvent) || random.nextBoolean()
        goOn(whole, cut, others.first(), isOwnRead)
        others.drop(1).forEach { send(foreign = it) }
        if (random.nextBoolean()) end(mayClose = true)
    }

    /** Place in a response at which it stops: where [fills] bytes are left, in its head, at an event or anywhere. */
    private fun cutOf(whole: String, head: Int, edges: List<Int>, fills: Int) = when {
        whole.length - fills >= head && record.isLikely(EXACT_PERCENT) -> whole.length - fills
        head == whole.length || record.isLikely(HEAD_PERCENT) -> 1 + random.nextInt(head - 1)
        edges.isNotEmpty() && record.isLikely(EVENT_EDGE_PERCENT) -> edges.random(random)
        else -> head + random.nextInt(whole.length - head)
    }

    /** Sends [whole] up to [cut], then [other]: a read may end where [whole] would have ended. */
    private fun goOn(whole: String, cut: Int, other: String, isOwnRead: Boolean) {
        val splitsAtEnd = record.isLikely(SPLIT_PERCENT)
        if (isOwnRead) {
            send(whole.take(cut))
            steps += Step(isForeign = false) { pause = random.nextInt(LONG_PAUSE) }
            send(foreign = other, splitAt = (whole.length - cut).takeIf { splitsAtEnd })
        } else {
            send(whole.take(cut), foreign = other, splitAt = whole.length.takeIf { splitsAtEnd })
        }
    }

    /** Bytes of another response than [response], to the same call, an earlier one of this connection or none. */
    private fun otherThan(response: SentResponse, whole: String): String {
        val other = response.copy(signature = "seal-other", type = null, body = "other body ${filler()}")
        val errorPage = other.copy(status = FAILED, signature = null)
        // A refusal states that the call has not run; an endpoint that runs it all the same breaks its word.
        val refusal = errorPage.copy(status = REFUSED, isRun = false)
        val earlier = record.copies.filter { it.connection === this && it.call != response.call }
        val framing = Framing.entries.random(random)
        return when (random.nextInt(OTHER_KINDS)) {
            0 -> if (response.isRun) errorPage.bytes(framing) else refusal.bytes(framing)
            1 -> if (response.isRun) other.bytes(framing) else refusal.bytes(framing)
            2 -> refusal.bytes(framing)
            3 -> earlier.randomOrNull(random)?.bytes ?: whole
            else -> WITHOUT_ID.random(random)
        }
    }

    private fun SentResponse.bytes(framing: Framing) = head() + framing.encode(body, body.split(random))

    private fun SentResponse.head(): String {
        val isRefusal = !isRun && status != MISDIRECTED
        val names = listOfNotNull(
            "Attempt: $call",
            signature?.let { "Signature: $it" },
            "Not-Executed: 1".takeIf { isRefusal },
            type?.let { "Content-Type: $it" },
        )
        val keepAlive = if (record.isLikely(KEEP_ALIVE_PERCENT)) "Keep-Alive: timeout=9\r\n" else ""
        return "HTTP/1.1 $status Status\r\n${names.shuffled(random).joinToString("\r\n")}\r\n$keepAlive"
    }

    private fun sendWhole(whole: String, framing: Framing) = when {
        framing == Framing.CLOSE -> {
            send(whole)
            steps += Step(isForeign = true, ::close)
        }
        framing == Framing.CHUNKED && record.isLikely(INSIDE_PERCENT) -> {
            val place = whole.indexOf(HEAD_END) + HEAD_END.length
            send(whole.take(place))
            send(foreign = noise(isBehind = false) + whole.drop(place))
        }
        else -> send(whole, foreign = if (record.isLikely(NOISE_PERCENT)) noise(isBehind = true) else "")
    }

    /** Ends the connection in one of the ways in which an endpoint may, or falls silent. */
    private fun end(mayClose: Boolean) {
        isMute = true
        val ends = listOf(::reset, { channel.close() }, {}) + if (mayClose) listOf(::close) else emptyList()
        val act = ends.random(random)
        steps += Step(isForeign = true) { act() }
    }

    private fun close() {
        if (isOpen) channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
    }

    private fun reset() {
        if (isOpen) channel.pipeline().fireExceptionCaught(IOException("Connection reset"))
    }

    /** Sends a part of the response, then bytes that don't belong to it; in two reads if it is split at [splitAt]. */
    private fun send(own: String = "", foreign: String = "", splitAt: Int? = null) {
        val text = own + foreign
        val segments = when {
            splitAt != null -> listOf(text.take(splitAt), text.drop(splitAt)).filter { it.isNotEmpty() }
            record.isLikely(SPLIT_PERCENT) -> text.split(random)
            else -> listOf(text)
        }
        var sent = 0
        segments.forEach { segment ->
            sent += segment.length
            steps += Step(isForeign = sent > own.length) {
                if (isOpen) channel.writeInbound(Unpooled.copiedBuffer(segment, Charsets.UTF_8))
            }
        }
    }

    /**
     * Bytes that belong to no request. Copies come on the connection of their request, and those of the response that
     * is under way behind it only; copies of others bear the id of a call of another daemon.
     */
    private fun noise(isBehind: Boolean): String {
        val copies = record.copies.filter { isBehind || it !== underWay }
        val copy = copies.randomOrNull(random) ?: return NOISE.random(random)
        val bytes = if (copy.connection === this) copy.bytes else copy.bytes.replace(copy.call, "z" + copy.call.drop(1))
        return when (random.nextInt(NOISE_KINDS)) {
            0 -> bytes
            1 -> bytes.take(1 + random.nextInt(bytes.length))
            2 -> NO_ID
            else -> NOISE.random(random)
        }
    }

    private enum class Framing {
        LENGTH, CHUNKED, CLOSE;

        fun encode(text: String, parts: List<String>) = when (this) {
            LENGTH -> "Content-Length: ${text.length}\r\n\r\n$text"
            CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + parts.filter { it.isNotEmpty() }
                .joinToString("") { "${it.length.toString(HEXADECIMAL)}\r\n$it\r\n" } + "0\r\n\r\n"
            CLOSE -> "\r\n$text"
        }

        /** Whether the orderly close of the connection after [part] of a response tells that it was cut short. */
        fun tellsCut(part: String, isStream: Boolean): Boolean {
            val body = part.substringAfter(HEAD_END, "")
            return this != CLOSE || HEAD_END !in part || (isStream && body.isNotEmpty() && !body.endsWith("\n\n"))
        }
    }

    private companion object {
        const val EVENTS = 4
        const val OK = 200
        const val NO_CONTENT = 204
        const val FOUND = 302
        const val NOT_FOUND = 404
        const val FAILED = 500
        const val REFUSED = 503
        const val MISDIRECTED = 421
        const val BEHAVIOURS = 14
        const val OTHERWISE_KINDS = 9
        const val OTHER_KINDS = 6
        const val MAX_OTHERS = 2
        const val MAX_FILLER = 150
        const val HEXADECIMAL = 16
        const val HEAD_END = "\r\n\r\n"
        const val EVENT_END = "\n\n"
        const val MAX_PAUSE = 4
        const val LONG_PAUSE = 12
        const val NOISE_KINDS = 4
        const val PAUSE_PERCENT = 50
        const val IDLE_NOISE_PERCENT = 2
        const val NOISE_PERCENT = 12
        const val INSIDE_PERCENT = 5
        const val KEEP_ALIVE_PERCENT = 70
        const val CUT_PERCENT = 10
        const val INTERRUPTED_PERCENT = 15
        const val HEAD_PERCENT = 25
        const val EVENT_EDGE_PERCENT = 30
        const val EXACT_PERCENT = 25
        const val FILLING_PERCENT = 15
        const val TAKE_UP_PERCENT = 60
        const val NO_STREAM_PERCENT = 5
        const val RESET_PERCENT = 30
        const val SPLIT_PERCENT = 40
        const val OTHER_PERCENT = 50
        const val INTERIM = "HTTP/1.1 102 Wait\r\n\r\n"
        const val NO_ID = "HTTP/1.1 503 Page\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\npage"
        val WITHOUT_ID = listOf(INTERIM, NO_ID)
        val STREAM_TYPES = listOf(null, "text/event-stream", "Text/Event-Stream; charset=utf-8")
        const val EVENT_TEXT = "data: later\n\n"
        const val NO_EVENT = "later\n\n"
        val TEXTS = listOf("later", NO_EVENT, "note: later\n\n", "see below\r\n\r\nlater\r\n")
        val NOISE = listOf("noise", "\r\n", "x: y\r\n\r\n", "HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n", NO_ID)

        fun String.split(random: Random): List<String> {
            if (length < 2) return listOf(this)
            val place = 1 + random.nextInt(length - 1)
            return listOf(take(place), drop(place))
        }
    }
}
