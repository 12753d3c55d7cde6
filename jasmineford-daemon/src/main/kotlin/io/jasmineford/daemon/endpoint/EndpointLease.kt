package io.jasmineford.daemon.endpoint

import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.program.Usage
import kotlin.time.Duration

/** Reply to a call that asked for an endpoint. */
internal sealed interface EndpointReply {
    /** The call may run at the lease's endpoint now. */
    data class Granted(val lease: EndpointLease) : EndpointReply

    /** The call did not run and will not. */
    data class Refused(val refusal: Refusal) : EndpointReply
}

/**
 * One attempt of a call at [endpoint]. The attempt counts as abandoned, with no verdict on the endpoint, unless [answered]
 * or [failed] was called.
 */
internal class EndpointLease(
    val endpoint: Endpoint,
    private val onFailure: suspend (FailureKind, isCrash: Boolean, isIdempotent: Boolean) -> Duration?,
) {
    /** Whether a whole answer came. */
    var isAnswered = false
        private set

    /** Tokens of the answer, or null. */
    var usage: Usage? = null
        private set

    /** Wait before the next attempt, or null when there is none. */
    var retryAfter: Duration? = null
        private set

    /** Takes a whole answer. */
    fun answered(usage: Usage? = null) {
        isAnswered = true
        this.usage = usage
    }

    /**
     * Takes a failure and returns whether the call is tried again; then the caller returns without an answer.
     *
     * @param isCrash whether the connection broke before the deadline.
     * @param isIdempotent whether the call may run again although it may have run.
     */
    suspend fun failed(kind: FailureKind, isCrash: Boolean, isIdempotent: Boolean): Boolean {
        retryAfter = onFailure(kind, isCrash, isIdempotent)
        return retryAfter != null
    }
}
