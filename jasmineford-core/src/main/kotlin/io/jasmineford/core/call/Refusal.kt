package io.jasmineford.core.call

import kotlin.time.Duration

/**
 * An answer other than a plain result.
 *
 * @property detail one line with the expected and the actual value; holds no key and no request body.
 * @property retryAfter when a repeat may succeed; null when a repeat doesn't help.
 */
data class Refusal(
    val reason: Reason,
    val detail: String,
    val outcome: Outcome = Outcome.REFUSED_NOT_RUN,
    val retryAfter: Duration? = null,
)
