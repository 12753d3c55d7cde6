package io.jasmineford.bench

import kotlinx.serialization.Serializable

/**
 * One measured value of a scenario. Lower is better for every measure.
 *
 * @property variant `jasmineford` for the product, otherwise the name of a baseline.
 * @property bound target that [value] must not exceed; null when there is none.
 */
@Serializable
data class Measurement(
    val scenario: String,
    val variant: String,
    val measure: String,
    val value: Double,
    val unit: String,
    val bound: Double? = null,
    val seed: Long,
)

/** Variant name of the product, as opposed to a baseline. */
const val PRODUCT_VARIANT: String = "jasmineford"

/** Whether the value is within its bound; true without a bound. */
val Measurement.isWithinBound: Boolean get() = bound == null || value <= bound
