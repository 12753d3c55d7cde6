package io.jasmineford.report.log

import kotlinx.serialization.Serializable

/**
 * Why one call ended as it did, with its log lines.
 *
 * @property lines log lines of the call from all daemons, by time.
 */
@Serializable
data class CallExplanation(
    val id: String,
    val cause: CallCause,
    val lines: List<LogLine>,
)

/** Merged log lines of many daemons, by time. */
class DaemonLogs(lines: Sequence<LogLine>) {
    private val ordered = lines.sortedBy { it.atMillis }.toList()
    private val byCall = ordered.filter { it["id"] != null }.groupBy { it.fields.getValue("id") }

    /** Ids of the calls that were refused or failed, by time. */
    val failed: List<String>
        get() = byCall.filterValues { lines -> lines.any { it.event in FAILURES } }.keys.toList()

    /** Lines of call [id]. */
    fun callsOf(id: String): List<LogLine> = byCall[id].orEmpty()

    /** Explanation of call [id]; null when no line has this id. */
    fun explanationOf(id: String): CallExplanation? =
        byCall[id]?.let { CallExplanation(id = id, cause = causeOf(it, this), lines = it) }

    /** Ids of the calls of program [name], by time. */
    fun callsOfProgram(name: String): List<String> =
        ordered.filter { it["program"] == name }.mapNotNull { it["id"] }.distinct()

    /** The last lines with one of [events] up to the time of [line], oldest first; optionally of its daemon only. */
    internal fun lastBefore(line: LogLine, events: Set<String>, sameDaemon: Boolean): List<LogLine> = ordered
        .filter { it.event in events && it.atMillis <= line.atMillis && (!sameDaemon || it.daemon == line.daemon) }
        .takeLast(EVIDENCE_LINES)

    private companion object {
        val FAILURES = setOf("call-refused", "call-failed")

        /** Maximum number of lines of evidence, so that they fit on a screen. */
        const val EVIDENCE_LINES = 5
    }
}
