package io.jasmineford.report.log

import kotlinx.serialization.Serializable

/** What a call came to. */
enum class CallEnd {
    /** The caller has an answer of an endpoint. */
    ANSWERED,

    /** The call has not run. */
    REFUSED,

    /** The call may have run. */
    FAILED,

    /** The caller left first. */
    ABANDONED,

    /** The logs do not tell. */
    UNKNOWN,
}

/**
 * Why a call ended as it did.
 *
 * @property text one sentence; null when the logs name no cause.
 * @property evidence lines of other calls or of daemons' beliefs that the sentence rests on.
 */
@Serializable
data class CallCause(
    val end: CallEnd,
    val text: String?,
    val evidence: List<LogLine> = emptyList(),
)

/** Names the cause of the call that [lines] tell of, from them and from what the daemons believed at the time. */
internal fun causeOf(lines: List<LogLine>, logs: DaemonLogs): CallCause {
    val last = lines.lastOrNull { it.event in ENDS } ?: return CallCause(CallEnd.UNKNOWN, null)
    return when (last.event) {
        "call-refused" -> refusalCause(last, lines, logs)
        "call-failed" -> CallCause(CallEnd.FAILED, failureText(last, lines))
        "call-caller-gone" -> CallCause(CallEnd.ABANDONED, "the caller left after ${last["ms"]} ms")
        else -> CallCause(CallEnd.ANSWERED, answerText(last))
    }
}

private fun answerText(last: LogLine): String {
    val status = last["status"]
    val isFailure = (status?.toIntOrNull() ?: 0) >= FIRST_FAILURE
    val endpoint = last["endpoint"]?.let { " of endpoint $it" }.orEmpty()
    return if (isFailure) "the answer$endpoint was $status" else "answered in ${last["ms"]} ms"
}

private fun failureText(last: LogLine, lines: List<LogLine>): String {
    val broken = lines.lastOrNull { it.event == "call-broken" }
    val where = broken?.let { "endpoint ${it["endpoint"]}: ${it["reason"]} after ${it["events"]} events" }
    return when (last["reason"]) {
        "deadline" -> "no whole answer within ${last["ms"]} ms" + where?.let { "; $it" }.orEmpty()
        "turn not stored" -> "the answer was whole, but no majority of history daemons stored the turn in time"
        else -> where ?: "the endpoint's answer was unusable: ${last["reason"]}"
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
            "account $name is over its allotment of $rate calls a second and $burst at once; the program is " +
                "${last["standing"]?.lowercase()}"
        }
        "STALE_KEYS" -> "the daemon had no proof of contact to the store for ${last["contact_ms"]} ms, so keys " +
            "could have been withdrawn"
        "NO_CONFIGURATION" -> "the daemon had just started and knew no configuration yet"
        "budget-spent" -> {
            val tokens = lines.lastOrNull { it.event == "tokens-refused" }
            "the program's budget of ${tokens?.get("budget") ?: "?"} tokens does not hold the turn: " +
                "${tokens?.get("outcome") ?: "see the daemon's earlier lines"}"
        }
        "history-unknown" -> "too few filled history daemons answered"
        "no-such-turn" -> absentTurnText(last, evidence)
        else -> plainRefusals[reason] ?: lines.lastOrNull { it.event in ATTEMPT_ENDS }?.let {
            "$reason; endpoint ${it["endpoint"]} last: ${it["reason"] ?: it["status"]}"
        }
    }

private fun absentTurnText(last: LogLine, evidence: List<LogLine>): String {
    val previous = last["previous"]
    val account = evidence.lastOrNull { it["account"] != null }?.get("account")
    val isWhole = evidence.any { it.event == "call-streamed" }
    return when {
        isWhole && account != last["account"] -> "turn $previous belongs to account $account"
        isWhole -> "turn $previous was answered whole, but the history daemons don't hold it; check its age"
        evidence.isNotEmpty() -> "turn $previous did not end whole"
        else -> "turn $previous is in no log"
    }
}

private val plainRefusals = mapOf(
    "NO_ROUTE" to "the version in force has no route for the host and path",
    "UNKNOWN_KEY" to "the version in force has no account with the key",
    "BAD_HEADERS" to "the attempt id is missing or a number can't be read",
    "NO_SERVICE" to "the route names no service of the version in force",
    "CRASHES_ENDPOINTS" to "the same call crashed several endpoints before",
    "no-endpoint-in-time" to "the queue for the service was too long for the time left",
    "deadline-before-send" to "no endpoint had room within the time limit",
)

private const val FIRST_FAILURE = 500
private const val PARTS = 3
private val ENDS = setOf("call-refused", "call-failed", "call-answered", "call-streamed", "call-caller-gone")
private val ATTEMPT_ENDS = setOf("call-not-sent", "call-not-executed", "call-broken")
private val HISTORY_EVENTS = setOf("history-standing", "group-changed", "history-connection-lost", "history-loaded")
