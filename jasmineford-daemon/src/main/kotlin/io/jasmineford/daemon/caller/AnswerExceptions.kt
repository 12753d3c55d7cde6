package io.jasmineford.daemon.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.CallEvent
import io.jasmineford.daemon.call.toEvents
import io.jasmineford.daemon.call.toTrailer
import io.jasmineford.daemon.warnEvent
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.onEach

/**
 * Ends the answer to [call] as outcome-unknown and logs the cause when the flow that produces it throws. Without this
 * the connection would break and the caller would get no outcome.
 */
internal fun Flow<CallEvent>.endedOnException(call: Call): Flow<CallEvent> {
    var head: CallEvent.Head? = null
    return onEach { if (it is CallEvent.Head) head = it }.catch { e ->
        log.warnEvent(
            "answer_failed",
            "request" to call.requestId,
            "route" to call.path.substringBefore('?'),
            "problem" to e,
        )
        val refusal = Refusal(Reason.INTERNAL, "an internal error ended the answer", Outcome.OUTCOME_UNKNOWN)
        val events = head?.let { refusal.toTrailer(it) } ?: refusal.toEvents()
        events.forEach { emit(it) }
    }
}

private val log = KotlinLogging.logger {}
