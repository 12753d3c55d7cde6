package io.jasmineford.gateway.rollout

import com.github.michaelbull.result.Result
import io.jasmineford.gateway.store.StoredObject
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration

/** State of a rollout as the store's object shows it; the last two are final. */
enum class RolloutOutcome { RUNNING, COMPLETED, ROLLED_BACK }

/** Status that was written for an order to move to version [to]. */
data class RolloutStatus(val outcome: RolloutOutcome, val to: String)

/**
 * Order to move the calls of [service] to the endpoints of version [to] within [duration].
 *
 * @property status status of the stored object, which may belong to an earlier order; null before the first one.
 */
data class RolloutOrder(
    val service: String,
    val to: String,
    val duration: Duration,
    val status: RolloutStatus? = null,
) {
    internal val schedule = RolloutSchedule(duration)

    /** Status of this order; null if none was written for it. */
    val ownStatus: RolloutStatus? get() = status?.takeIf { it.to == to }

    /** The final state of this order; null while it is open. */
    val finalOutcome: RolloutOutcome? get() = ownStatus?.outcome?.takeIf { it != RolloutOutcome.RUNNING }
}

/**
 * Bounds of the calls that a version may get before it is known to be good.
 *
 * @property exposureShare part of a service's calls that may reach a bad version.
 * @property exposureSlack calls that may reach it in addition.
 * @property rollbackTime time from the 50th bad response of a version until it gets no further calls.
 */
data class RolloutBounds(
    val exposureShare: Double,
    val exposureSlack: Double,
    val rollbackTime: Duration,
) {
    /** Part of the calls that go to the new version before it is known to be good; the rest is for late detection. */
    val canaryShare: Double get() = minOf(MAX_CANARY_SHARE, exposureShare * CANARY_PART)

    /** Part of the calls up to which long calls are moved before the others. */
    val earlyShare: Double get() = exposureShare * EARLY_PART

    /** Calls that all daemons together may send beyond [canaryShare], so that routes with few calls take part. */
    val canarySlack: Int get() = minOf(MAX_CANARY_SLACK, (exposureSlack * CANARY_SLACK_PART).toInt())

    private companion object {
        const val MAX_CANARY_SHARE = 0.04
        const val CANARY_PART = 0.4

        /** The rest is for the others, which move for half a second until a good version is completed. */
        const val EARLY_PART = 0.5
        const val MAX_CANARY_SLACK = 15
        const val CANARY_SLACK_PART = 0.3
    }
}

/** Form of orders and of their status in the platform's store. */
interface RolloutFormat {
    /** Decodes an order; an error is one line of text. */
    fun order(stored: StoredObject): Result<RolloutOrder, String>

    /** Encodes a status. */
    fun status(status: RolloutStatus): JsonElement
}
