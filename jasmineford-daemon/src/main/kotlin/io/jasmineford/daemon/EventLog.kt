package io.jasmineford.daemon

import io.github.oshai.kotlinlogging.KLogger

/** Logs one event as a line of key=value pairs. Values with spaces or quotes are quoted. */
fun KLogger.event(name: String, vararg fields: Pair<String, Any?>) = info { line(name, fields) }

/** Like [event], at warning level, for events that need an operator's attention. */
fun KLogger.warnEvent(name: String, vararg fields: Pair<String, Any?>) = warn { line(name, fields) }

private fun line(name: String, fields: Array<out Pair<String, Any?>>): String =
    fields.joinToString(separator = "", prefix = "event=$name") { (key, value) -> " $key=${quote(value.toString())}" }

private fun quote(value: String): String {
    val isPlain = value.isNotEmpty() && value.none { it.isWhitespace() || it == '"' || it == '=' }
    return if (isPlain) value else "\"" + value.replace("\"", "'").replace("\n", " ") + "\""
}
