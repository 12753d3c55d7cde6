package io.jasmineford.report.log

import kotlinx.serialization.Serializable

/**
 * What the logs tell of one call.
 *
 * @property lines its lines of all daemons, by time.
 */
@Serializable
data class CallStory(
    val id: String,
    val cause: CallCause,
    val lines: List<LogLine>,
)

/** Lines of many daemons, by time. */
class DaemonLogs(lines: Sequence<LogLine>) {
    private val ordered = lines.sortedBy { it.atMillis }.toList()
    private val byCall = ordered.filter { it["id"] != null }.groupBy { it.fields.getValue("id") }

    /** Ids of the calls that were refused or failed, by time. */
    val failed: List<String>
        get() = byCall.filterValues { lines -> lines.any { it.event in FAILURES } }.keys.toList()

    /** Lines of call [id]. */
    fun callsOf(id: String): List<LogLine> = byCall[id].orEmpty()

    /** The story of call [id]; null when no line names it. */
    fun storyOf(id: String): CallStory? =
        byCall[id]?.let { CallStory(id = id, cause = causeOf(it, this), lines = it) }

    /** Ids of the calls of program [name], by time. */
    fun callsOfProgram(name: String): List<String> =
        ordered.filter { it["program"] == name }.mapNotNull { it["id"] }.distinct()

    /** The newest lines of [events] before [line], oldest first. */
    internal fun lastBefore(line: LogLine, events: Set<String>, sameDaemon: Boolean): List<LogLine> = ordered
        .filter { it.event in events && it.atMillis <= line.atMillis && (!sameDaemon || it.daemon == line.daemon) }
        .takeLast(EVIDENCE_LINES)

    private companion object {
        val FAILURES = setOf("call-refused", "call-failed")

        /** Lines of evidence that fit a screen. */
        const val EVIDENCE_LINES = 5
    }
}
