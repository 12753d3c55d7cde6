package io.jasmineford.core.call

import kotlin.time.Duration

/**
 * An answer that is not a result.
 *
 * @property detail one line with the expected and the actual value; must contain neither a key nor the request body.
 * @property retryAfter time after which a retry may succeed; null when a retry does not help.
 */
data class Refusal(
    val reason: Reason,
    val detail: String,
    val outcome: Outcome = Outcome.REFUSED_NOT_RUN,
    val retryAfter: Duration? = null,
)
