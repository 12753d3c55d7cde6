package io.jasmineford.bench

/** Result of one run of a scenario: its measurements, and plots of the underlying data. */
data class ScenarioResult(
    val measurements: List<Measurement>,
    val plots: List<Plot> = emptyList(),
)

/** Body of a scenario that returns plots in addition to measurements. */
fun interface Experiment {
    /** Runs the experiment with [seed]. */
    fun run(seed: Long): ScenarioResult
}

/**
 * A named experiment in virtual time on the product's decision code. The same seed gives the same measurements.
 *
 * @property name unique, in lower case with dashes.
 */
class Scenario private constructor(
    val name: String,
    val description: String,
    private val experiment: Experiment,
) {
    constructor(name: String, description: String, run: (seed: Long) -> List<Measurement>) :
        this(name, description, Experiment { ScenarioResult(run(it)) })

    /** Runs with [seed] and returns the measurements. */
    fun run(seed: Long): List<Measurement> = runWithPlots(seed).measurements

    /** Runs with [seed] and returns measurements and plots. */
    fun runWithPlots(seed: Long): ScenarioResult = experiment.run(seed)

    companion object {
        /** Creates a scenario that also returns plots. */
        fun withPlots(name: String, description: String, experiment: Experiment): Scenario =
            Scenario(name, description, experiment)
    }
}

/** Seed of a run that does not specify one. */
const val DEFAULT_SEED: Long = 1
