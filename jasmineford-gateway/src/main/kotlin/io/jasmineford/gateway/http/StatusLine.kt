package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf

/** The first bytes of a status line, such as `HTTP/1.1 200`. */
internal object StatusLine {
    private fun interface Expected {
        fun accepts(byte: Byte): Boolean
    }

    private val DIGIT = Expected { it in '0'.code..'9'.code }
    private val START: List<Expected> = "HTTP/1.".map { char -> Expected { it.toInt() == char.code } } +
        DIGIT + Expected { it.toInt() == ' '.code } + DIGIT + DIGIT + DIGIT

    /** Number of bytes up to the end of the status. */
    val size: Int = START.size

    /** Whether a status line may have [byte] at [position], which is less than [size]. */
    fun accepts(position: Int, byte: Byte): Boolean = START[position].accepts(byte)

    /** Whether [bytes] from [index] on are those of a status line from its [position] on, as far as both go. */
    fun matches(bytes: ByteBuf, index: Int, position: Int = 0): Boolean =
        (0 until minOf(size - position, bytes.writerIndex() - index))
            .all { accepts(position + it, bytes.getByte(index + it)) }
}
