package io.jasmineford.cli.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.placement.PlacementReport
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.statement.bodyAsText
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** What the entry daemon with the metrics address [metrics] tells of a request; an error is one line. */
internal suspend fun fetchPlacement(
    metrics: String,
    host: String,
    path: String,
    headers: List<Pair<String, String>>,
): Result<PlacementReport, String> = try {
    val client = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = TIMEOUT_MILLIS } }
    val text = client.use {
        it.get("http://$metrics/placement/explain") {
            parameter("host", host)
            parameter("path", path)
            headers.forEach { (name, value) -> header(name, value) }
        }.bodyAsText()
    }
    Ok(Json.decodeFromString(text))
} catch (e: IOException) {
    Err("metrics address $metrics: ${e.message ?: e}")
} catch (e: SerializationException) {
    Err("metrics address $metrics: invalid reply: ${e.message}")
}

private const val TIMEOUT_MILLIS = 10_000L
