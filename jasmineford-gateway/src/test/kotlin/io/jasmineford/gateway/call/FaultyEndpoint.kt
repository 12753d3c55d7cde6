package io.jasmineford.gateway.call

import io.jasmineford.gateway.http.HttpClientConnection
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpResponse
import java.io.IOException
import kotlin.random.Random

/**
 * Response of an endpoint to one sending of a call.
 *
 * @property signature null for the endpoint's error pages.
 * @property isRun whether the endpoint has run the call.
 * @property isWhole whether the endpoint sends all of it and ends it in order.
 */
internal data class SentResponse(
    val call: String,
    val status: Int,
    val signature: String?,
    val isRun: Boolean,
    val body: String,
    val isWhole: Boolean,
)

/** Bytes of a response to [call] on [connection]. */
internal class ResponseCopy(val connection: FaultyEndpoint, val call: String, val bytes: String)

/** What the endpoints of a schedule share: their random numbers and all responses to each call, in their order. */
internal class EndpointRecord(val random: Random, val hasEvents: (String) -> Boolean) {
    /** Responses by call. */
    val responses = HashMap<String, ArrayList<SentResponse>>()

    /** All responses. */
    val copies = ArrayList<ResponseCopy>()

    /** Rules that the daemon has broken. */
    val violations = ArrayList<String>()

    fun isLikely(percent: Int) = random.nextInt(HUNDRED) < percent

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
    private val channel = EmbeddedChannel()
    private val steps = ArrayDeque<Step>()
    private var underWay: ResponseCopy? = null
    private var pause = 0

    /** Whether a response was cut short: bytes behind it could not be told from the rest of it. */
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
        val headers = request.lines().associate { it.substringBefore(": ").lowercase() to it.substringAfter(": ") }
        val id = headers.getValue("attempt")
        if (isDirty) record.violations += "$id was sent over a connection with bytes that belong to no request"
        respond(id, lastEvent = headers["last-event-id"]?.toInt() ?: 0)
    }

    private fun respond(id: String, lastEvent: Int) {
        val number = record.responses.getOrPut(id) { ArrayList() }.size
        val isStream = record.hasEvents(id)
        val text = if (isStream) eventsOf(id, lastEvent) else "body of $id in run $number"
        val signature = "seal-$id-$number"
        val notRun = SentResponse(id, REFUSED, null, isRun = false, body = "full", isWhole = true)
        val errorPage = SentResponse(id, FAILED, null, isRun = true, body = "error page $number", isWhole = true)
        val lost = SentResponse(id, 0, null, isRun = true, body = "", isWhole = false)
        when (random.nextInt(BEHAVIOURS)) {
            0, 1 -> answer(notRun)
            2 -> answer(notRun.copy(status = MISDIRECTED))
            3 -> answer(errorPage.copy(signature = signature))
            4 -> answer(errorPage)
            5 -> answer(errorPage.copy(status = REFUSED))
            6 -> {
                record.responses.getValue(id) += lost
                end(mayClose = true)
            }
            else -> answer(SentResponse(id, OK, signature, isRun = true, text, isWhole = true))
        }
    }

    private fun eventsOf(id: String, lastEvent: Int) =
        (lastEvent + 1..EVENTS).joinToString("") { "id: $it\ndata: $id/$it\n\n" }

    private fun answer(response: SentResponse) {
        val framing = Framing.entries.random(random)
        val whole = response.head() + framing.encode(response.body, response.body.split(random))
        val cut = if (record.isLikely(CUT_PERCENT)) random.nextInt(whole.length) else whole.length
        val resets = framing == Framing.CLOSE && record.isLikely(RESET_PERCENT)
        val sent = response.copy(isWhole = cut == whole.length && !resets)
        record.responses.getValue(sent.call) += sent
        if (record.isLikely(NOISE_PERCENT)) send(foreign = noise(isBehind = false))
        if (record.isLikely(NOISE_PERCENT)) send(INTERIM)
        underWay = ResponseCopy(this, sent.call, whole).also(record.copies::add)
        when {
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

    private fun SentResponse.head(): String {
        val isRefusal = !isRun && status != MISDIRECTED
        val names = listOfNotNull(
            "Attempt: $call",
            signature?.let { "Signature: $it" },
            "Not-Executed: 1".takeIf { isRefusal },
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

    /** Sends a part of the response, then bytes that don't belong to it. */
    private fun send(own: String = "", foreign: String = "") {
        val text = own + foreign
        val segments = if (record.isLikely(SPLIT_PERCENT)) text.split(random) else listOf(text)
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
        const val FAILED = 500
        const val REFUSED = 503
        const val MISDIRECTED = 421
        const val BEHAVIOURS = 14
        const val HEXADECIMAL = 16
        const val HEAD_END = "\r\n\r\n"
        const val MAX_PAUSE = 4
        const val NOISE_KINDS = 4
        const val PAUSE_PERCENT = 50
        const val IDLE_NOISE_PERCENT = 2
        const val NOISE_PERCENT = 12
        const val INSIDE_PERCENT = 5
        const val KEEP_ALIVE_PERCENT = 70
        const val CUT_PERCENT = 10
        const val RESET_PERCENT = 30
        const val SPLIT_PERCENT = 40
        const val OTHER_PERCENT = 50
        const val INTERIM = "HTTP/1.1 102 Wait\r\n\r\n"
        const val NO_ID = "HTTP/1.1 503 Page\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\npage"
        val NOISE = listOf("noise", "\r\n", "x: y\r\n\r\n", "HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n", NO_ID)

        fun String.split(random: Random): List<String> {
            if (length < 2) return listOf(this)
            val place = 1 + random.nextInt(length - 1)
            return listOf(take(place), drop(place))
        }
    }
}
