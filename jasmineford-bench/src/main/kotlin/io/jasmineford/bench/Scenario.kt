package io.jasmineford.bench

/** What one run of a scenario gives: figures, and plots that show how they come about. */
data class Findings(
    val measurements: List<Measurement>,
    val plots: List<Plot> = emptyList(),
)

/** An experiment that gives plots beside its figures. */
fun interface Experiment {
    /** Runs with [seed]. */
    fun observe(seed: Long): Findings
}

/**
 * An experiment in virtual time that drives the product's own decision code. The same seed gives the same figures.
 *
 * @property name unique, in lower case with dashes.
 */
class Scenario private constructor(
    val name: String,
    val description: String,
    private val experiment: Experiment,
) {
    constructor(name: String, description: String, run: (seed: Long) -> List<Measurement>) :
        this(name, description, Experiment { Findings(run(it)) })

    /** Figures of a run with [seed]. */
    fun run(seed: Long): List<Measurement> = observe(seed).measurements

    /** Figures and plots of a run with [seed]. */
    fun observe(seed: Long): Findings = experiment.observe(seed)

    companion object {
        /** A scenario that gives plots too. */
        fun withPlots(name: String, description: String, experiment: Experiment): Scenario =
            Scenario(name, description, experiment)
    }
}

/** Seed of a run that names none. */
const val DEFAULT_SEED: Long = 1
