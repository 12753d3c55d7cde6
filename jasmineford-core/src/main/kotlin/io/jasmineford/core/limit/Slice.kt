package io.jasmineford.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a shared quantity is. */
enum class QuantityKind {
    /** Tokens of an account's rate; a used unit is gone. */
    BUCKET,

    /** Slots of an endpoint's window; a unit is free again when its slice is returned. */
    WINDOW,
}

/**
 * A quantity with one owner over all VMs.
 *
 * @property name name within the kind; [io.jasmineford.core.lease.shardOf] of it gives the owner.
 */
data class Quantity(
    val kind: QuantityKind,
    val name: String,
)

/**
 * Units that the owner lent to one VM.
 *
 * @property id unique among the slices of one owner, so that a repeated return changes nothing.
 * @property valid time from before the request was sent, on the borrower's clock, for which the units may be used.
 */
data class Slice(
    val id: Long,
    val units: Double,
    val valid: Duration,
)

/**
 * Reply to a request for a slice.
 *
 * @property slice null when nothing could be lent.
 * @property retryAfter earliest time after which more can be lent; zero when nothing is missing.
 */
data class SliceGrant(
    val slice: Slice?,
    val retryAfter: Duration,
)

/**
 * Times of lending.
 *
 * @property valid longest validity of a slice. Units of a lost borrower stay unusable for this long.
 * @property lookahead time for which a borrower asks ahead of need; a few round trips between VMs.
 * @property idleReturn time without use after which a borrower returns what it has left.
 * @property minRetry least wait between two requests of one borrower that was lent nothing.
 * @property patience wait for the reply to a request before the borrower asks again.
 */
data class SliceSettings(
    val valid: Duration = 2.seconds,
    val lookahead: Duration = 100.milliseconds,
    val idleReturn: Duration = 200.milliseconds,
    val minRetry: Duration = 10.milliseconds,
    val patience: Duration = 250.milliseconds,
)
