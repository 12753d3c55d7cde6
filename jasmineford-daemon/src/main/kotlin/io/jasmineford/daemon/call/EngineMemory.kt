package io.jasmineford.daemon.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.DeploymentKind
import io.jasmineford.core.program.programOfEngineCacheKey
import io.jasmineford.daemon.control.ShardKeeper
import io.jasmineford.daemon.event
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Frees engine memory of programs that ended, were dropped or are silent.
 *
 * Each keeper compares what every engine holds with the programs of its own shards. A program of a dead daemon is
 * compared by the VM that took its shard over. All functions run on the control thread.
 *
 * @param idle time without a call after which a program's memory is freed; its history stays.
 */
internal class EngineMemory(
    private val configuration: ConfigurationHolder,
    private val keeper: ShardKeeper,
    private val engines: EngineClient,
    private val every: Duration,
    private val idle: Duration,
) {
    /** Compares until [scope] is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch {
        while (true) {
            delay(every)
            addresses().forEach { address -> launch { compare(address) } }
        }
    }

    private fun addresses(): Set<String> = configuration.current.organisations.values
        .flatMap { it.deployments.values }
        .filter { it.kind == DeploymentKind.MODEL }
        .flatMap { deployment -> deployment.endpoints.map { it.address } }
        .toSet()

    private suspend fun compare(address: String) {
        val held = engines.heldPrograms(address, ANSWER_LIMIT) ?: return
        val unused = held.filter { keeper.isUnused(it, idle) }
        unused.forEach { engines.drop(address, it) }
        if (unused.isNotEmpty()) log.event("engine_memory_freed", "endpoint" to address, "programs" to unused.size)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ANSWER_LIMIT = 2.seconds
    }
}

private fun ShardKeeper.isUnused(name: String, idle: Duration): Boolean {
    val program = programOfEngineCacheKey(name) ?: return false
    // Another VM's programs are that VM's to compare; a shard that is being taken over has no programs yet.
    return isServing(shardOf(program)) && book.isEvictable(program, idle)
}
