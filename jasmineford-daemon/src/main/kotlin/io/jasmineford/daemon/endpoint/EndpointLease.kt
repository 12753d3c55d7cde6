package io.jasmineford.daemon.endpoint

import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.program.Usage
import kotlin.time.Duration

/** Reply to a request for an endpoint. */
internal sealed interface EndpointReply {
    /** The call may run now at the endpoint of [lease]. */
    data class Granted(val lease: EndpointLease) : EndpointReply

    /** The call did not run and will not. */
    data class Refused(val refusal: Refusal) : EndpointReply
}

/**
 * One attempt of a call at [endpoint]. Unless [answered] or [failed] is called, the attempt counts as abandoned and
 * doesn't affect the health of the endpoint.
 */
internal class EndpointLease(
    val endpoint: Endpoint,
    private val onFailure: suspend (FailureKind, isCrash: Boolean, isIdempotent: Boolean) -> Duration?,
) {
    /** Whether the endpoint gave a whole answer. */
    var isAnswered = false
        private set

    /** Token counts of the answer, or null. */
    var usage: Usage? = null
        private set

    /** Wait before the next attempt, or null when the call is not retried. */
    var retryAfter: Duration? = null
        private set

    /** Records a whole answer. */
    fun answered(usage: Usage? = null) {
        isAnswered = true
        this.usage = usage
    }

    /**
     * Records a failure. Returns true when the call will be retried; the block of this attempt must then send no
     * answer.
     *
     * @param isCrash whether the connection broke before the deadline, which counts as a crash of the endpoint.
     * @param isIdempotent whether the call may run again although it may already have run.
     */
    suspend fun failed(kind: FailureKind, isCrash: Boolean, isIdempotent: Boolean): Boolean {
        retryAfter = onFailure(kind, isCrash, isIdempotent)
        return retryAfter != null
    }
}
