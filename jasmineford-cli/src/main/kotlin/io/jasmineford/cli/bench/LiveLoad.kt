package io.jasmineford.cli.bench

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlin.time.measureTimedValue

/** Path that a request takes to an endpoint. */
internal enum class RequestPath(val label: String) {
    /** Directly to a model engine. */
    ENGINE_DIRECT("engine-direct"),

    /** A single model call through a daemon. */
    ENGINE_CALL("engine-call"),

    /** A turn of a program through a daemon, which makes it durable before it ends the answer. */
    ENGINE_TURN("engine-turn"),

    /** Directly to a service. */
    SERVICE_DIRECT("service-direct"),

    /** A service lookup through a daemon. */
    SERVICE_CALL("service-call"),
}

/** Latencies and failures of one request path. */
internal class PathResult {
    val latency = ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    val failures = AtomicLong()

    private companion object {
        const val MAX_LATENCY_US = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}

/** Targets of a live run. All addresses are `host:port` on loopback. */
internal data class LiveTargets(
    val daemons: List<String>,
    val engines: List<String>,
    val services: List<String>,
    val key: String,
    val model: String,
    val service: String,
)

/**
 * Closed-loop load generator. Each worker sends one request on every path in turn, so that all paths are measured under
 * the same conditions.
 *
 * @param workers number of concurrent workers.
 * @param maxRequests maximum number of requests over all paths.
 * @param maxDuration maximum duration of the run.
 */
internal class LiveLoad(
    private val targets: LiveTargets,
    private val workers: Int,
    private val maxRequests: Long,
    private val maxDuration: Duration,
) : AutoCloseable {
    private val sent = AtomicLong()
    private val client = HttpClient(CIO) {
        install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MS }
        engine {
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
        }
    }

    /** Results by request path. */
    val results: Map<RequestPath, PathResult> = RequestPath.entries.associateWith { PathResult() }

    /** Runs until the maximum duration or number of requests is reached; returns the elapsed time. */
    suspend fun run(): Duration = withContext(Dispatchers.Default) {
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            repeat(workers) { worker -> launch { work(worker, start + maxDuration) } }
        }
        start.elapsedNow()
    }

    override fun close() = client.close()

    private suspend fun work(worker: Int, end: TimeSource.Monotonic.ValueTimeMark) {
        var round = 0
        while (end.hasNotPassedNow() && sent.addAndGet(RequestPath.entries.size.toLong()) <= maxRequests) {
            for (path in RequestPath.entries) measure(path, worker, round)
            round++
        }
    }

    private suspend fun measure(path: RequestPath, worker: Int, round: Int) {
        val result = results.getValue(path)
        val (isOk, took) = measureTimedValue {
            try {
                val reply = send(path, worker, round)
                reply.bodyAsText()
                reply.status.value < MIN_ERROR_STATUS
            } catch (_: IOException) {
                false
            }
        }
        if (isOk) result.latency.recordValue(took.inWholeMicroseconds) else result.failures.incrementAndGet()
    }

    private suspend fun send(path: RequestPath, worker: Int, round: Int): HttpResponse {
        val daemon = targets.daemons[(worker + round) % targets.daemons.size]
        return when (path) {
            RequestPath.ENGINE_DIRECT -> chat(targets.engines[(worker + round) % targets.engines.size])
            RequestPath.ENGINE_CALL -> chat(daemon)
            RequestPath.ENGINE_TURN -> {
                val program = "live-$runId-$worker-${round / TURNS_PER_PROGRAM}"
                chat(daemon, program, round % TURNS_PER_PROGRAM + 1)
            }
            RequestPath.SERVICE_DIRECT -> {
                val service = targets.services[(worker + round) % targets.services.size]
                client.get("http://$service/stock/1")
            }
            RequestPath.SERVICE_CALL -> client.get("http://$daemon/services/${targets.service}/stock/1") {
                header("Authorization", "Bearer ${targets.key}")
            }
        }
    }

    private suspend fun chat(address: String, program: String? = null, turn: Int = 0) =
        client.post("http://$address/v1/chat/completions") {
            header("Authorization", "Bearer ${targets.key}")
            if (program != null) {
                header("Jasmineford-Program", program)
                header("Jasmineford-Turn", turn)
                if (turn == TURNS_PER_PROGRAM) header("Jasmineford-End", "true")
            }
            contentType(ContentType.Application.Json)
            setBody("""{"model":"${targets.model}","messages":[{"role":"user","content":"Propose three dates."}]}""")
        }

    private companion object {
        /** Makes program names unique across runs. */
        val runId = System.currentTimeMillis()
        const val TURNS_PER_PROGRAM = 5
        const val MIN_ERROR_STATUS = 400
        const val MAX_CONNECTIONS = 1_000
        const val REQUEST_TIMEOUT_MS = 30_000L
    }
}
