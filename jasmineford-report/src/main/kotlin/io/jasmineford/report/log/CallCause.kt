package io.jasmineford.report.log

import kotlinx.serialization.Serializable

/** How a call ended. */
enum class CallEnd {
    /** The caller got an endpoint's response. */
    ANSWERED,

    /** The call was refused and has not run. */
    REFUSED,

    /** The call failed and may have run. */
    FAILED,

    /** The caller disconnected before the response. */
    ABANDONED,

    /** The logs contain no end of the call. */
    UNKNOWN,
}

/**
 * Why a call ended as it did.
 *
 * @property text one sentence; null when the logs name no cause.
 * @property evidence log lines of other calls, or of the daemons' state, that support the sentence.
 */
@Serializable
data class CallCause(
    val end: CallEnd,
    val text: String?,
    val evidence: List<LogLine> = emptyList(),
)

/** Derives the cause of a call from its [lines] and from what [logs] show of the daemons' state at that time. */
internal fun causeOf(lines: List<LogLine>, logs: DaemonLogs): CallCause {
    val last = lines.lastOrNull { it.event in ENDS } ?: return CallCause(CallEnd.UNKNOWN, null)
    return when (last.event) {
        "call-refused" -> refusalCause(last, lines, logs)
        "call-failed" -> CallCause(CallEnd.FAILED, failureText(last, lines))
        "call-caller-gone" -> CallCause(CallEnd.ABANDONED, "the caller disconnected after ${last["ms"]} ms")
        else -> CallCause(CallEnd.ANSWERED, answerText(last))
    }
}

private fun answerText(last: LogLine): String {
    val status = last["status"]
    val isFailure = (status?.toIntOrNull() ?: 0) >= FIRST_FAILURE
    val endpoint = last["endpoint"]?.let { " of endpoint $it" }.orEmpty()
    return if (isFailure) "the response$endpoint had status $status" else "answered in ${last["ms"]} ms"
}

private fun failureText(last: LogLine, lines: List<LogLine>): String {
    val broken = lines.lastOrNull { it.event == "call-broken" }
    val where = broken?.let { "endpoint ${it["endpoint"]}: ${it["reason"]} after ${it["events"]} events" }
    return when (last["reason"]) {
        "deadline" -> "no complete response within ${last["ms"]} ms" + where?.let { "; $it" }.orEmpty()
        "turn not stored" -> "the response was complete, but no majority of history daemons stored the turn in time"
        else -> where ?: "the endpoint's response was unusable: ${last["reason"]}"
    }
}

private fun refusalCause(last: LogLine, lines: List<LogLine>, logs: DaemonLogs): CallCause {
    val reason = last["reason"]
    val evidence = when (reason) {
        "STALE_KEYS" -> logs.lastBefore(last, setOf("store-lost"), sameDaemon = true)
        "history-unknown" -> logs.lastBefore(last, HISTORY_EVENTS, sameDaemon = false)
        "no-such-turn" -> logs.callsOf(last["previous"].orEmpty())
        else -> emptyList()
    }
    return CallCause(CallEnd.REFUSED, refusalText(reason, last, lines, evidence), evidence)
}

private fun refusalText(reason: String?, last: LogLine, lines: List<LogLine>, evidence: List<LogLine>): String? =
    when (reason) {
        "OVER_ALLOTMENT" -> {
            val (name, rate, burst) = last["account"].orEmpty().split('/').let { it + List(PARTS) { "?" } }
            "account $name exceeds its rate limit of $rate calls a second with a burst of $burst; the program is " +
                "${last["standing"]?.lowercase()}"
        }
        "STALE_KEYS" -> "the daemon had no proof of contact with the store for ${last["contact_ms"]} ms, so " +
            "keys could have been withdrawn"
        "NO_CONFIGURATION" -> "the daemon had just started and had no configuration yet"
        "budget-spent" -> {
            val tokens = lines.lastOrNull { it.event == "tokens-refused" }
            "the program's budget of ${tokens?.get("budget") ?: "?"} tokens does not cover the turn: " +
                "${tokens?.get("outcome") ?: "see the daemon's earlier lines"}"
        }
        "history-unknown" -> "too few complete history daemons replied"
        "no-such-turn" -> absentTurnText(last, evidence)
        else -> plainRefusals[reason] ?: lines.lastOrNull { it.event in ATTEMPT_ENDS }?.let {
            "$reason; endpoint ${it["endpoint"]} last: ${it["reason"] ?: it["status"]}"
        }
    }

private fun absentTurnText(last: LogLine, evidence: List<LogLine>): String {
    val previous = last["previous"]
    val account = evidence.lastOrNull { it["account"] != null }?.get("account")
    val isCompleted = evidence.any { it.event == "call-streamed" }
    return when {
        isCompleted && account != last["account"] -> "turn $previous belongs to account $account"
        isCompleted -> "turn $previous was completed, but the history daemons don't hold it; check its age"
        evidence.isNotEmpty() -> "turn $previous was not completed"
        else -> "turn $previous is in no log"
    }
}

private val plainRefusals = mapOf(
    "NO_ROUTE" to "the current configuration has no route for the host and path",
    "UNKNOWN_KEY" to "the current configuration has no account with the key",
    "BAD_HEADERS" to "the attempt id is missing or a number can't be read",
    "NO_SERVICE" to "the route names no service of the current configuration",
    "CRASHES_ENDPOINTS" to "the same call crashed several endpoints before",
    "STOPPING" to "the daemon was stopping and would have ended before the call's time limit",
    "stopping-before-send" to "the daemon was about to end and the call had not been sent",
    "PARTIAL_TURN" to "the caller asked for a part of a turn that has to be stored whole",
    "no-endpoint-in-time" to "the queue for the service was too long for the time left",
    "deadline-before-send" to "no endpoint had a free slot within the time limit",
)

private const val FIRST_FAILURE = 500
private const val PARTS = 3
private val ENDS = setOf("call-refused", "call-failed", "call-answered", "call-streamed", "call-caller-gone")
private val ATTEMPT_ENDS = setOf("call-not-sent", "call-not-executed", "call-endpoint-failed", "call-broken")
private val HISTORY_EVENTS = setOf("history-standing", "group-changed", "history-connection-lost", "history-loaded")
