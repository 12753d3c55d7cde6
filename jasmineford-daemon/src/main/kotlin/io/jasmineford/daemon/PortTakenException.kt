package io.jasmineford.daemon

import kotlinx.coroutines.CancellationException
import java.io.IOException

/** A port of the settings can't be opened; the message names the setting, the address and the reason. */
class PortTakenException(message: String, cause: Throwable) : IOException(message, cause)

/**
 * Opens [port] of [setting] with [open]. Only failures of the socket become [PortTakenException]; others are rethrown
 * as they are.
 */
internal inline fun <T> openPort(setting: String, host: String, port: Int, open: () -> T): T = try {
    open()
} catch (e: IOException) {
    throw portTakenException(setting, "$host:$port", e) ?: e
} catch (e: CancellationException) {
    // When the socket fails, the start of the HTTP server throws a cancellation with the socket's failure as its cause.
    throw portTakenException(setting, "$host:$port", e) ?: e
}

internal fun portTakenException(setting: String, address: String, failure: Throwable): PortTakenException? =
    generateSequence(failure) { it.cause }.lastOrNull { it is IOException }
        ?.let { PortTakenException("$setting: can't open $address: ${it.message}", failure) }
