package io.jasmineford.bench

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/**
 * A known failure: a benchmark measure or a test that fails because of a defect that is not fixed yet.
 *
 * @property command command that reproduces the failure.
 * @property measure `scenario/variant/measure`, or null when the entry names a test.
 * @property test class and title of a test, or null when the entry names a measure.
 * @property seen result of the failing run.
 * @property issue description of the open defect.
 */
data class KnownFailure(
    val command: String,
    val seed: Long,
    val measure: String? = null,
    val test: String? = null,
    val seen: String,
    val issue: String,
)

/**
 * Parses KNOWN-RED.txt: each entry is one line of `key=value` pairs, with values that contain spaces in double quotes.
 * Empty lines and lines that start with `#` are skipped. The error names the first invalid line.
 */
fun parseKnownFailures(text: String): Result<List<KnownFailure>, String> {
    val entries = mutableListOf<KnownFailure>()
    for ((index, line) in text.lines().withIndex()) {
        if (line.isBlank() || line.startsWith("#")) continue
        val pairs = PAIR.findAll(line).associate { it.groupValues[1] to it.groupValues[2].removeSurrounding("\"") }
        val rest = PAIR.replace(line, "").trim()
        val problem = if (rest.isNotEmpty()) "expected key=value pairs, actual '$rest'" else problemOf(pairs)
        if (problem != null) return Err("line ${index + 1}: $problem")
        entries += KnownFailure(
            command = pairs.getValue("command"),
            seed = pairs.getValue("seed").toLong(),
            measure = pairs["measure"],
            test = pairs["test"],
            seen = pairs.getValue("seen"),
            issue = pairs.getValue("issue"),
        )
    }
    return Ok(entries)
}

private fun problemOf(pairs: Map<String, String>): String? {
    val missing = REQUIRED - pairs.keys
    val unknown = pairs.keys - REQUIRED - "measure" - "test"
    val measure = pairs["measure"]
    return when {
        missing.isNotEmpty() -> "expected the keys $missing, actual none"
        unknown.isNotEmpty() -> "expected no keys but $REQUIRED, measure and test, actual $unknown"
        (measure == null) == (pairs["test"] == null) -> "expected either measure or test"
        measure != null && measure.split('/').size != MEASURE_PARTS ->
            "expected measure=scenario/variant/measure, actual $measure"

        pairs["seed"]?.toLongOrNull() == null -> "expected a whole number as seed, actual ${pairs["seed"]}"
        else -> null
    }
}

private val REQUIRED = setOf("command", "seed", "seen", "issue")
private val PAIR = Regex("""([a-z]+)=("[^"]*"|\S+)""")
private const val MEASURE_PARTS = 3
