package io.jasmineford.bench

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes the measurement as a JSON line of `bench run`. */
fun Measurement.toLine(): String = lineJson.encodeToString(this)

/** Parses the JSON lines of a run, skipping empty lines; the error names the first line that is no measurement. */
fun parseMeasurements(text: String): Result<List<Measurement>, String> {
    val measurements = mutableListOf<Measurement>()
    for ((index, line) in text.lines().withIndex()) {
        if (line.isBlank()) continue
        try {
            measurements += lineJson.decodeFromString<Measurement>(line)
        } catch (e: SerializationException) {
            return Err("line ${index + 1}: expected a measurement as JSON, actual ${e.message?.lines()?.first()}")
        }
    }
    return Ok(measurements)
}

private val lineJson = Json { encodeDefaults = true }
