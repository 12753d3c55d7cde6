package io.jasmineford.gateway.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Phase of an open rollout. Phases only advance within a round, and a later round holds against an earlier one, so that
 * of two views the later holds; a rollback overrides all.
 */
enum class RolloutPhase {
    /** A small part of the calls goes to the new version. */
    CANARY,

    /** All calls go to the new version, except for streams that began on the old one. */
    DRAIN,

    /** No call is sent to the old version any more. */
    CLOSED,

    /** All calls go to the old version. */
    ROLLBACK,
}

/**
 * State of an open rollout as sent in heartbeats.
 *
 * @property opened revision of the store's object at which the order was first seen, which identifies the order.
 * @property elapsedMillis time since the order.
 * @property ageMillis age of the coordinator's latest confirmation of this state; -1 without one.
 * @property outcome final state that the sender has read, told to daemons that take the rollout for open.
 * @property isCutOff whether the sender can't reach the store, so that another daemon should coordinate.
 * @property round number of times that the calls were taken back to the old version for a comparison.
 */
@Serializable
data class RolloutState(
    @SerialName("s") val service: String,
    @SerialName("t") val to: String,
    @SerialName("o") val opened: Long,
    @SerialName("p") val phase: RolloutPhase,
    @SerialName("e") val elapsedMillis: Long,
    @SerialName("a") val ageMillis: Long = -1,
    @SerialName("x") val isCutOff: Boolean = false,
    @SerialName("f") val outcome: RolloutOutcome? = null,
    @SerialName("n") val round: Int = 0,
)

/**
 * Cumulative counts of one daemon's calls on a route at one side of a rollout.
 *
 * @property isNew whether the calls went to the new version.
 * @property ended calls with a response or a broken one.
 * @property failed calls among [ended] whose response was a failure or broken.
 * @property slow calls among [ended] that took several times as long as usual at the old version.
 * @property micros sum of the durations, for streams of the durations by event.
 */
@Serializable
data class RouteTally(
    @SerialName("r") val route: String,
    @SerialName("n") val isNew: Boolean,
    @SerialName("c") val sent: Long = 0,
    @SerialName("e") val ended: Long = 0,
    @SerialName("f") val failed: Long = 0,
    @SerialName("s") val slow: Long = 0,
    @SerialName("m") val micros: Long = 0,
) {
    /** Sum of this tally and [other]. */
    operator fun plus(other: RouteTally) = copy(
        sent = sent + other.sent,
        ended = ended + other.ended,
        failed = failed + other.failed,
        slow = slow + other.slow,
        micros = micros + other.micros,
    )

    /** Difference of this tally and an [earlier] one. */
    operator fun minus(earlier: RouteTally) = copy(
        sent = sent - earlier.sent,
        ended = ended - earlier.ended,
        failed = failed - earlier.failed,
        slow = slow - earlier.slow,
        micros = micros - earlier.micros,
    )
}

/**
 * Report of one process on a rollout.
 *
 * @property process id of the reporting process, see [processId].
 * @property opened identifies the order, as in [RolloutState].
 * @property sequence rises with each change of the report.
 * @property phase latest phase that the process applies, in [round].
 * @property oldInFlight calls of the process in flight at endpoints of the old version.
 * @property bad number of failed and slow calls by the hash of the id of the new version's endpoint.
 */
@Serializable
data class RolloutReport(
    @SerialName("i") val process: Int,
    @SerialName("s") val service: String,
    @SerialName("o") val opened: Long,
    @SerialName("q") val sequence: Long,
    @SerialName("p") val phase: RolloutPhase,
    @SerialName("f") val oldInFlight: Int = 0,
    @SerialName("t") val tallies: List<RouteTally> = emptyList(),
    @SerialName("b") val bad: Map<Int, Long> = emptyMap(),
    @SerialName("n") val round: Int = 0,
)

/** Short id of the process of a daemon; counts of an earlier process of the daemon are kept under their own id. */
internal fun processId(name: String, incarnation: Long): Int = "$name/$incarnation".hashCode()
