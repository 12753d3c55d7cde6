package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf

/**
 * Finds the head of another response inside the body of a response: a server that stopped in the body went on with its
 * next response, whose bytes would fill the body up to its length.
 *
 * A body may quote a response. A status line is therefore taken for the start of another response only
 *
 * - where a read from the connection begins with it, as bytes that were sent later do, or
 * - if header lines with the [idHeader] follow it, or the body ends before the head does and more bytes follow, or
 * - with the end of its line, in any place, if [idHeader] is null: the server has no ids, and its bodies are JSON. The
 *   text of a status line may stand in a string of JSON, but no string holds the end of a line.
 */
internal class InnerHeadDetector(private val idHeader: String?) {
    private var matched = 0
    private var startsRead = false
    private var isAtReadStart = false
    private var isInHead = false
    private var isStatusLine = false
    private val line = StringBuilder()

    /** Whether the body ended inside something that reads as the head of a response. */
    val isOpen: Boolean get() = isInHead || matched > 0

    /** Called when bytes have been read from the connection, before they are passed to [finds]. */
    fun readStarted() {
        isAtReadStart = true
    }

    /** Called when the read began with other bytes than those of the body. */
    fun readBeganBeforeBody() {
        isAtReadStart = false
    }

    /** Whether the body, of which [part] is the next part, holds the head of another response. */
    fun finds(part: ByteBuf): Boolean {
        var index = part.readerIndex()
        var isFound = false
        while (index < part.writerIndex() && !isFound) {
            index = if (matched == 0 && !isInHead) skipToFirstByte(part, index) else index
            if (index < part.writerIndex()) isFound = findsAt(part.getByte(index++))
        }
        return isFound
    }

    /**
     * Index of the next byte from [index] on that may begin a status line, or the end of [part]. Every byte of every
     * response is looked at, and outside a status line only this one matters.
     */
    private fun skipToFirstByte(part: ByteBuf, index: Int): Int {
        val next = part.indexOf(index, part.writerIndex(), ResponseMatcher.FIRST_BYTE)
        if (next != index) isAtReadStart = false
        return if (next < 0) part.writerIndex() else next
    }

    /** Whether the body ended inside the head of another response that goes on with [behind], the bytes after it. */
    fun findsBehind(behind: ByteBuf): Boolean {
        val isContinued = behind.readableBytes() >= StatusLine.size - matched &&
            StatusLine.matches(behind, behind.readerIndex(), matched)
        return isInHead || (matched > 0 && isContinued)
    }

    private fun findsAt(byte: Byte): Boolean {
        // The end of a string that quotes a status line.
        if (isStatusLine && byte == QUOTE) isInHead = false
        val isFoundLine = isInHead && endsTellingLine(byte)
        return isFoundLine || (endsStatusLine(byte) && startsRead)
    }

    private fun endsStatusLine(byte: Byte): Boolean {
        val isFirstOfRead = isAtReadStart
        isAtReadStart = false
        if (!StatusLine.accepts(matched, byte)) matched = 0
        if (StatusLine.accepts(matched, byte) && matched++ == 0) startsRead = isFirstOfRead
        val isStatusLineEnd = matched == StatusLine.size
        if (isStatusLineEnd) {
            matched = 0
            isInHead = true
            isStatusLine = true
            line.clear()
        }
        return isStatusLineEnd
    }

    /**
     * Whether [byte], inside the lines from a status line on, ends a header line with an id, or the status line itself
     * if there are no ids.
     */
    private fun endsTellingLine(byte: Byte): Boolean {
        if (byte != LINE_FEED) {
            line.append(byte.toInt().toChar())
            isInHead = line.length <= MAX_LINE
            return false
        }
        val name = "$line".substringBefore(':', missingDelimiterValue = "")
        val isTelling = if (idHeader == null) isStatusLine else name.equals(idHeader, ignoreCase = true)
        line.clear()
        isInHead = isStatusLine || name.isNotEmpty()
        isStatusLine = false
        return isTelling
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val QUOTE = '"'.code.toByte()
        const val MAX_LINE = 8192
    }
}
