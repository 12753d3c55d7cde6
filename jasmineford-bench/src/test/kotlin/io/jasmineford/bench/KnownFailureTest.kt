package io.jasmineford.bench

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail

/** Guards against a list of known failures that hides a new failure or keeps an entry after its fix. */
class KnownFailureTest {
    private val values = mapOf("slow" to 2.0, "fast" to 0.5)
    private val scenario = Scenario("s", "two measures with bound 1") { seed ->
        values.map { (measure, value) -> Measurement("s", PRODUCT_VARIANT, measure, value, "s", bound = 1.0, seed = seed) }
    }

    @Test
    fun `an unlisted failure, a listed success and an unknown measure are each reported`() {
        val none = checkBounds(listOf(scenario), emptyList())
        assertEquals(listOf("s/jasmineford/slow"), none.unexpectedFailures.map { it.path })

        val listed = checkBounds(listOf(scenario), known("s/jasmineford/slow", seed = 1))
        assertTrue(listed.isAsExpected, "expected a listed failure to be accepted, actual $listed")

        val otherSeed = checkBounds(listOf(scenario), known("s/jasmineford/slow", seed = 7))
        val unexpectedSeeds = otherSeed.unexpectedFailures.map { it.seed }
        assertEquals(listOf(1L), unexpectedSeeds, "expected an entry to cover its own seed only")
        assertEquals(listOf(7L), otherSeed.expectedFailures.map { it.seed })

        assertEquals(1, checkBounds(listOf(scenario), known("s/jasmineford/fast", seed = 1)).unexpectedPasses.size)
        assertEquals(1, checkBounds(listOf(scenario), known("s/jasmineford/gone", seed = 1)).unknownMeasures.size)
    }

    @Test
    fun `invalid lines are rejected with their line number`() {
        val invalidLines = mapOf(
            "seed=1 measure=a/b/c seen=x issue=y" to "line 1: expected the keys [command], actual none",
            "command=x seed=one measure=a/b/c seen=x issue=y" to "line 1: expected a whole number as seed, actual one",
            "command=x seed=1 seen=x issue=y" to "line 1: expected either measure or test",
            "command=x seed=1 measure=a/b seen=x issue=y" to "line 1: expected measure=scenario/variant/measure, actual a/b",
            "# comment\nfree text" to "line 2: expected key=value pairs, actual 'free text'",
        )
        for ((text, expected) in invalidLines) assertEquals(expected, parseKnownFailures(text).getError(), text)
    }

    private fun known(measure: String, seed: Long): List<KnownFailure> {
        val line = """command="./jasmineford bench run s" seed=$seed measure=$measure seen="2 s" issue="too slow""""
        return parseKnownFailures(line).getOrElse { fail(it) }
    }
}
