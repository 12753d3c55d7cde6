package io.jasmineford.bench

import kotlinx.serialization.Serializable

/**
 * One figure of a scenario. Lower is better for every measure.
 *
 * @property variant `jasmineford` for the product, otherwise the name of a baseline.
 * @property bound the target that [value] may not exceed; null where no target is stated.
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

/** Name of the product's own variant. */
const val PRODUCT_VARIANT: String = "jasmineford"

/** Whether the bound holds; true without a bound. */
val Measurement.isWithinBound: Boolean get() = bound == null || value <= bound
