package io.jasmineford.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Kind of a shared quantity. */
enum class QuantityKind {
    /** Tokens of an account's token bucket; each is used once. */
    BUCKET,

    /** Slots of an endpoint's concurrency window; a slot is free again when its slice is returned. */
    WINDOW,
}

/**
 * A quantity that has one owner VM and is shared by all VMs.
 *
 * @property name name within the kind; its shard, see [io.jasmineford.core.lease.shardOf], determines the owner.
 */
data class Quantity(
    val kind: QuantityKind,
    val name: String,
)

/**
 * Units of a shared quantity that the owner lent to one VM for a limited time.
 *
 * @property id unique among the slices of one owner, so that a repeated return changes nothing.
 * @property validity time for which the units may be used, counted on the borrower's clock from before its request.
 */
data class Slice(
    val id: Long,
    val units: Double,
    val validity: Duration,
)

/**
 * Reply to a request for a slice.
 *
 * @property slice null when nothing could be lent.
 * @property retryAfter delay after which more units may be available; zero when the request was fully met.
 */
data class SliceGrant(
    val slice: Slice?,
    val retryAfter: Duration,
)

/**
 * Timing of slices.
 *
 * @property maxValidity longest validity of a slice. Units of a lost borrower stay unusable for this long.
 * @property lookahead expected demand that a borrower requests in advance; a few round trips between VMs.
 * @property idleTimeout time without use after which a borrower returns the rest of a slice.
 * @property minRetryDelay shortest wait between two requests of a borrower that was lent nothing.
 * @property replyTimeout time without a reply after which the borrower sends a new request.
 */
data class SliceSettings(
    val maxValidity: Duration = 2.seconds,
    val lookahead: Duration = 100.milliseconds,
    val idleTimeout: Duration = 200.milliseconds,
    val minRetryDelay: Duration = 10.milliseconds,
    val replyTimeout: Duration = 250.milliseconds,
)
