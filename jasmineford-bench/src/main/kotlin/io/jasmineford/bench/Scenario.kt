package io.jasmineford.bench

/**
 * An experiment in virtual time that drives the product's own decision code. The same seed gives the same figures.
 *
 * @property name unique, in lower case with dashes.
 */
data class Scenario(
    val name: String,
    val description: String,
    val run: (seed: Long) -> List<Measurement>,
)

/** Seed of a run that names none. */
const val DEFAULT_SEED: Long = 1
