package io.jasmineford.daemon.caller

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.jasmineford.core.key.digestOfKey
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.daemon.EntryDaemon
import io.jasmineford.daemon.settings.EntrySettings
import io.jasmineford.standin.engine.EngineServer
import io.jasmineford.standin.platform.PlatformServer
import io.jasmineford.standin.service.ServiceServer
import io.jasmineford.store.HttpObjectStore
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Three entry daemons, two engines and a service on loopback. Records what endpoints receive and what is logged. */
internal class LoopbackFleet(engineTokenInterval: Long = 1) : AutoCloseable {
    private val vms = ZONES.map { io.jasmineford.store.VmListing("$it-1", it, io.jasmineford.store.VmCondition.LIVE) }
    private val platform = PlatformServer(vms = { vms })
    private val logs = ListAppender<ILoggingEvent>()
    private val seenByEndpoints = ConcurrentLinkedQueue<String>()
    private val stores = mutableListOf<HttpObjectStore>()
    private val daemons = mutableListOf<EntryDaemon>()

    val engines = listOf("engine-a", "engine-b").map { name ->
        EngineServer(
            name = name,
            tokenInterval = engineTokenInterval.milliseconds,
            onRequest = { headers, body -> seenByEndpoints += "$headers $body" },
        )
    }
    val service = ServiceServer(
        onRequest = { seenByEndpoints += it.toString() },
        onTarget = { seenByEndpoints += it },
        answerDelay = { path -> if (path == HANGING_PATH) HANG else Duration.ZERO },
    )
    val http = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = CLIENT_TIMEOUT_MS } }
    val identities = mutableListOf<VmIdentity>()
    lateinit var enginePorts: List<Int>
    var servicePort = 0

    suspend fun start(): LoopbackFleet {
        logs.start()
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).addAppender(logs)
        enginePorts = engines.map { it.start() }
        servicePort = service.start()
        val url = "http://127.0.0.1:${platform.start()}"
        for (zone in ZONES) {
            val store = HttpObjectStore(url).also { stores += it }
            val settings = EntrySettings(
                vm = "$zone-1",
                zone = zone,
                platformUrl = url,
                configurationPollMs = 100,
                stopGraceMs = 500,
                engineCompareMs = 100,
            )
            val daemon = EntryDaemon(settings, store).also { daemons += it }
            identities += daemon.start()
        }
        return this
    }

    /** Runs the planned stop of daemon [vm]. */
    suspend fun stop(vm: Int) = daemons[vm].stop()

    /** Stops daemon [vm] at once, as in a crash. */
    fun kill(vm: Int) = daemons[vm].close()

    suspend fun publish(note: String): String =
        http.post("http://${identities[0].operatorAddress}/release") { setBody(note) }.bodyAsText()

    /** Number of calls in progress according to the engines' load reports. */
    suspend fun runningAtEngines(): Int = enginePorts.sumOf { port ->
        val load = http.get("http://127.0.0.1:$port/load").bodyAsText()
        load.substringAfter("\"running\":").substringBefore(',').toInt()
    }

    suspend fun awaitGeneration(generation: Long) = awaitUntil("all daemons in generation $generation") {
        daemons.all { it.isReady() && it.generation() == generation }
    }

    /** Like [awaitGeneration], but doesn't wait until the daemons are ready, which a VM out of service may not be. */
    suspend fun awaitConfiguration(generation: Long) = awaitUntil("generation $generation on all daemons") {
        daemons.all { it.generation() == generation }
    }

    /** Waits until the shards are spread evenly, so that the owner of a program's shard no longer changes. */
    suspend fun awaitSettledShards() = awaitUntil("the same number of shards on every VM") {
        identities.map { servedShards(it) }.toSet() == setOf(SHARDS / identities.size)
    }

    private suspend fun servedShards(vm: VmIdentity): Int {
        val status = http.get("http://${vm.operatorAddress}/status").bodyAsText()
        return status.substringAfter("\"shards\":").substringBefore(',').toInt()
    }

    suspend fun call(vm: Int, path: String, build: HttpRequestBuilder.() -> Unit = {}): HttpResponse =
        http.post("http://${identities[vm].callerAddress}$path", build)

    suspend fun chat(vm: Int, key: String, body: String = CHAT): HttpResponse =
        call(vm, "/v1/chat/completions") {
            header("Authorization", "Bearer $key")
            setBody(body)
        }

    /** Everything that reached endpoints, logs, metrics and status reports so far. */
    suspend fun traces(): Map<String, String> = mapOf(
        "endpoints" to seenByEndpoints.joinToString("\n"),
        "effects" to service.effects().joinToString("\n"),
        "logs" to synchronized(logs.list) { logs.list.joinToString("\n") { "${it.formattedMessage} ${it.throwableProxy?.message}" } },
        "metrics" to identities.map { http.get("http://${it.operatorAddress}/metrics").bodyAsText() }.joinToString("\n"),
        "status" to identities.map { http.get("http://${it.operatorAddress}/status").bodyAsText() }.joinToString("\n"),
    )

    override fun close() {
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).detachAppender(logs)
        daemons.forEach { it.close() }
        stores.forEach { it.close() }
        engines.forEach { it.close() }
        service.close()
        platform.close()
        http.close()
    }

    /** Release note that adds the items of one organisation. Every organisation uses the same names. */
    fun note(organisation: String, key: String, buildsOn: Long, enginePort: Int): String = """
        organisation: $organisation
        buildsOn: $buildsOn
        added:
          accounts: [{name: shop, ratePerSecond: 1000, burst: 1000}]
          keys: [{name: main, account: shop, digest: "sha256:${digestOfKey(key).hex}"}]
          deployments:
            - {name: engines, kind: MODEL, endpoints: [{name: e, address: "127.0.0.1:$enginePort", zone: be-wal-a}]}
            - {name: stock, kind: SERVICE, endpoints: [{name: s, address: "127.0.0.1:$servicePort", zone: be-wal-b}]}
          routes:
            - {name: chat, deployment: engines}
            - {name: stock, deployment: stock}
            - {name: once, deployment: stock, idempotent: false}
            - {name: public, deployment: stock, open: true, openRatePerSecond: 0.01, openBurst: 1}
    """.trimIndent()

    companion object {
        val ZONES = listOf("be-wal-a", "be-wal-b", "be-wal-c")
        const val CHAT = """{"model":"chat","messages":[{"role":"user","content":"hello"}]}"""
        const val CLIENT_TIMEOUT_MS = 30_000L
        const val SHARDS = 48

        /** Service path that performs its side effect at once and answers after [HANG]. */
        const val HANGING_PATH = "hanging"
        val HANG = 4.seconds
    }
}

/** Runs [block] with a fleet of two organisations, `lttwb` and `shop`, which use the same names and different keys. */
internal fun withLoopbackFleet(engineTokenInterval: Long = 1, block: suspend (LoopbackFleet) -> Unit) = runBlocking {
    LoopbackFleet(engineTokenInterval).use { fleet ->
        fleet.start()
        fleet.publish(fleet.note("lttwb", "first-secret-key", 0, fleet.enginePorts[0]))
        fleet.publish(fleet.note("shop", "second-secret-key", 1, fleet.enginePorts[1]))
        fleet.awaitGeneration(2)
        fleet.awaitSettledShards()
        block(fleet)
    }
}

/** Waits until [condition] holds and fails after 20 s, a limit that only keeps a failing test from hanging. */
internal suspend fun awaitUntil(what: String, condition: suspend () -> Boolean) {
    try {
        withTimeout(20.seconds) { while (!condition()) delay(20.milliseconds) }
    } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
        throw AssertionError("expected $what, actual none within 20 s", e)
    }
}
