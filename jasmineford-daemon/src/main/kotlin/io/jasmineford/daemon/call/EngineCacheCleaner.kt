package io.jasmineford.daemon.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.DeploymentKind
import io.jasmineford.core.program.programOfEngineCacheKey
import io.jasmineford.daemon.control.ShardDriver
import io.jasmineford.daemon.event
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Frees the KV cache of programs that have ended, are unknown or have been idle.
 *
 * Each VM compares what every engine holds with the programs of its own shards, so the programs of a dead VM are
 * compared by the VM that took over their shards. All functions run on the control thread.
 *
 * @param idleTimeout time without a call after which a program's KV cache is freed; its history is kept.
 */
internal class EngineCacheCleaner(
    private val configuration: ConfigurationHolder,
    private val shardDriver: ShardDriver,
    private val engines: EngineClient,
    private val interval: Duration,
    private val idleTimeout: Duration,
) {
    /** Compares periodically until [scope] is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch {
        while (true) {
            delay(interval)
            addresses().forEach { address -> launch { compare(address) } }
        }
    }

    private fun addresses(): Set<String> = configuration.current.organisations.values
        .flatMap { it.deployments.values }
        .filter { it.kind == DeploymentKind.MODEL }
        .flatMap { deployment -> deployment.endpoints.map { it.address } }
        .toSet()

    private suspend fun compare(address: String) {
        val cached = engines.cachedPrograms(address, REQUEST_TIMEOUT) ?: return
        val unused = cached.filter { shardDriver.isUnused(it, idleTimeout) }
        unused.forEach { engines.evict(address, it) }
        if (unused.isNotEmpty()) log.event("engine_memory_freed", "endpoint" to address, "programs" to unused.size)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val REQUEST_TIMEOUT = 2.seconds
    }
}

private fun ShardDriver.isUnused(name: String, idleTimeout: Duration): Boolean {
    val program = programOfEngineCacheKey(name) ?: return false
    // Programs of shards that this VM doesn't serve are skipped: another VM compares them, or they aren't replayed yet.
    return isServing(shardOf(program)) && registry.isEvictable(program, idleTimeout)
}
