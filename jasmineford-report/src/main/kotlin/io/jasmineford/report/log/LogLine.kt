package io.jasmineford.report.log

import kotlinx.serialization.Serializable

/**
 * One line of a daemon's log.
 *
 * @property atMillis Unix milliseconds by the daemon's clock.
 * @property daemon name of the daemon, or of the log file when the line has no prefix.
 * @property fields the line's key-value pairs in their order, without `ts` and `event`.
 */
@Serializable
data class LogLine(
    val atMillis: Long,
    val daemon: String,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Value of [key]; null when the line lacks the key or its value is `null`. */
    operator fun get(key: String): String? = fields[key]?.takeIf { it != NO_VALUE }

    private companion object {
        const val NO_VALUE = "null"
    }
}

private val PAIR = Regex("""([\w.]+)=("[^"]*"|\S*)""")

/**
 * Parses a line of the form `ts=... event=... key=value...`; null when it does not have this form.
 *
 * @param source daemon name for lines without a prefix. The last word of a prefix, such as a log collector adds, takes
 * precedence.
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
