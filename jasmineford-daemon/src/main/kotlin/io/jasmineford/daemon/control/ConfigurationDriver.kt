package io.jasmineford.daemon.control

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.decodeChunks
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.event
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoredObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/** Reads the configuration's head at intervals and takes newer generations into force. */
class ConfigurationDriver(
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val holder: ConfigurationHolder,
    private val clock: MonotonicClock,
    private val pollEvery: Duration,
    private val onChange: (Configuration) -> Unit,
) {
    /** Polls until the scope is cancelled. */
    fun start() = scope.launch {
        while (true) {
            refresh()
            delay(pollEvery)
        }
    }

    /** Reads the head once. */
    suspend fun refresh() {
        val askedAt = clock.now()
        store.get(CONFIGURATION_HEAD_KEY).onSuccess { stored ->
            val head = stored?.let(::decodeHead) ?: ConfigurationHead(generation = 0, chunks = emptyList())
            if (head.generation > holder.current.generation) load(head)
            holder.prove(head.generation, askedAt)
        }
    }

    private suspend fun load(head: ConfigurationHead) {
        val chunks = head.chunks.map { store.get(it).get()?.value ?: return }
        val configuration = decodeChunks(chunks)
        if (holder.offer(configuration)) {
            log.event("configuration_in_force", "generation" to configuration.generation)
            onChange(configuration)
        }
    }

    private fun decodeHead(stored: StoredObject): ConfigurationHead = Json.decodeFromString(stored.value)

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
