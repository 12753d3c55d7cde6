package io.jasmineford.gateway.load

import java.io.FileInputStream
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Reads the CPU time of the calling thread from the kernel's scheduler statistics; null where there are none. The JVM's
 * management beans have it too, but loading them takes a noticeable part of a daemon's start.
 */
class ThreadCpuTime : () -> Duration? {
    private val buffer = ByteArray(BUFFER_BYTES)
    private var isAvailable = true

    override fun invoke(): Duration? {
        if (!isAvailable) return null
        val read = try {
            FileInputStream(PATH).use { it.read(buffer) }
        } catch (ignored: IOException) {
            0
        }
        val digits = (0 until read).takeWhile { buffer[it] in DIGITS }
        isAvailable = digits.isNotEmpty()
        val total = digits.fold(0L) { sum, index -> sum * RADIX + (buffer[index] - ZERO) }
        return if (isAvailable) total.nanoseconds else null
    }

    private companion object {
        /** The first number is the time on a processor in nanoseconds. */
        const val PATH = "/proc/thread-self/schedstat"
        const val BUFFER_BYTES = 64
        const val RADIX = 10
        const val ZERO = '0'.code
        val DIGITS = '0'.code.toByte()..'9'.code.toByte()
    }
}
