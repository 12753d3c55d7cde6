package io.jasmineford.core.objective

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import kotlinx.serialization.Serializable

/**
 * What the counters are kept by.
 *
 * @property account null for open routes.
 * @property reason null for plain results.
 */
@Serializable
data class CallLabels(
    val account: ScopedName?,
    val route: String,
    val zone: String,
    val outcome: Outcome,
    val reason: Reason? = null,
)

/** Calls by account, route, zone, outcome and reason since the process started. */
class CallCounters {
    private val counts = HashMap<CallLabels, Long>()

    /** Counts one answered call. */
    fun count(labels: CallLabels) {
        counts.merge(labels, 1L, Long::plus)
    }

    /** All counts. */
    fun snapshot(): List<CallCount> = counts.map { (labels, calls) -> CallCount(labels, calls) }
}

/** One row of [CallCounters.snapshot]. */
@Serializable
data class CallCount(
    val labels: CallLabels,
    val calls: Long,
)
