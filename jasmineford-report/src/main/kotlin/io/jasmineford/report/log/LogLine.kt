package io.jasmineford.report.log

import kotlinx.serialization.Serializable

/**
 * One line of a daemon's log.
 *
 * @property atMillis Unix milliseconds by the daemon's clock.
 * @property daemon the log it came from.
 * @property fields the line's pairs in their order, without the time and the event's name.
 */
@Serializable
data class LogLine(
    val atMillis: Long,
    val daemon: String,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Value of [key]; null when the line has none or states none. */
    operator fun get(key: String): String? = fields[key]?.takeIf { it != NO_VALUE }

    private companion object {
        const val NO_VALUE = "null"
    }
}

private val PAIR = Regex("""([\w.]+)=("[^"]*"|\S*)""")

/**
 * Reads a line of the form `ts=... event=... key=value...`; null when it is none.
 *
 * @param source name for the daemon; text before the first pair, such as a collector's prefix, is used instead.
 */
fun parseLogLine(text: String, source: String): LogLine? {
    val prefix = text.substringBefore("ts=")
    val pairs = PAIR.findAll(text.removePrefix(prefix))
        .associate { it.groupValues[1] to it.groupValues[2].removeSurrounding("\"") }
    val at = pairs["ts"]?.toLongOrNull()
    val event = pairs["event"]
    if (at == null || event == null) return null
    val daemon = prefix.trim().split(' ').last().ifEmpty { source }
    return LogLine(at, daemon, event, pairs - setOf("ts", "event"))
}
