package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf

/**
 * Makes one line of each header line that is folded over several, by spaces in place of its line ends, as RFC 9112,
 * section 5.2 allows. Netty's decoder would copy the line for each of its parts.
 */
internal object LineUnfolder {
    /**
     * Unfolds the lines from the reader index to the end of the head or of the trailers.
     *
     * @param isHead whether the reader index is at the start of a message rather than behind its first lines, so that
     *   empty lines don't end the head and the first other line is no header.
     * @return the index before which the lines can be decoded: that of a line of which it isn't known whether it goes
     *   on, as nothing follows it yet.
     */
    fun unfold(buffer: ByteBuf, isHead: Boolean): Int {
        var start = buffer.readerIndex()
        if (isHead) {
            start = buffer.skipEmptyLines()
            val end = buffer.indexOf(start, buffer.writerIndex(), LINE_FEED)
            start = if (end < 0) buffer.writerIndex() else end + 1
        }
        var end = buffer.indexOf(start, buffer.writerIndex(), LINE_FEED)
        while (end >= 0 && !buffer.isEmptyLine(start, end)) {
            val next = end + 1
            when {
                next == buffer.writerIndex() -> return start
                buffer.getByte(next).isBlank -> buffer.blankLineEnd(end)
                else -> start = next
            }
            end = buffer.indexOf(next, buffer.writerIndex(), LINE_FEED)
        }
        return buffer.writerIndex()
    }

    private fun ByteBuf.skipEmptyLines(): Int {
        var index = readerIndex()
        while (index < writerIndex() && getByte(index) in 0..SPACE) index++
        return index
    }

    private fun ByteBuf.isEmptyLine(start: Int, end: Int): Boolean =
        end == start || (end == start + 1 && getByte(start) == CARRIAGE_RETURN)

    private fun ByteBuf.blankLineEnd(end: Int) {
        setByte(end, SPACE.toInt())
        if (getByte(end - 1) == CARRIAGE_RETURN) setByte(end - 1, SPACE.toInt())
    }

    private val Byte.isBlank: Boolean get() = this == SPACE || this == TAB

    private const val LINE_FEED = '\n'.code.toByte()
    private const val CARRIAGE_RETURN = '\r'.code.toByte()
    private const val SPACE = ' '.code.toByte()
    private const val TAB = '\t'.code.toByte()
}
