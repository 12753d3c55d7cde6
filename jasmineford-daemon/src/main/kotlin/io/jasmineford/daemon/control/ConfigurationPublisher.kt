package io.jasmineford.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ReleaseError
import io.jasmineford.core.config.chunkKey
import io.jasmineford.core.config.decodeChunks
import io.jasmineford.core.config.encodeChunks
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.describe
import io.jasmineford.store.putOnce
import kotlinx.serialization.json.Json

/** Why a publication was not accepted. */
sealed interface PublishError {
    /** The note has faults; nothing changed. */
    data class Rejected(val errors: List<ReleaseError>) : PublishError

    /** Another publication won; nothing of this one is in force. */
    data class LostRace(val current: Long) : PublishError

    /** The store did not answer; whether the change took effect is not known. */
    data class Unavailable(val reason: String) : PublishError
}

/** Change of a configuration: the new one, or every fault. */
typealias ConfigurationChange = (Configuration) -> Result<Configuration, List<ReleaseError>>

/** Publishes configurations: immutable chunks first, then one conditional update of the head. */
class ConfigurationPublisher(
    private val store: ObjectStore,
    private val nonces: () -> String,
) {
    /** Applies [change] to the newest configuration and returns the configuration that is now in force. */
    suspend fun publish(change: ConfigurationChange): Result<Configuration, PublishError> {
        val head = store.get(CONFIGURATION_HEAD_KEY).mapError(::unavailable)
        return head.flatMap { stored ->
            read(stored).flatMap { current ->
                change(current).mapError { PublishError.Rejected(it) }.flatMap { write(it, stored) }
            }
        }
    }

    private suspend fun read(stored: StoredObject?): Result<Configuration, PublishError> {
        if (stored == null) return Ok(Configuration())
        val head = Json.decodeFromString<ConfigurationHead>(stored.value)
        val chunks = mutableListOf<String>()
        for (key in head.chunks) {
            val chunk = store.get(key).fold(
                success = { it ?: return Err(PublishError.Unavailable("chunk $key is missing")) },
                failure = { return Err(unavailable(it)) },
            )
            chunks += chunk.value
        }
        return Ok(decodeChunks(chunks))
    }

    private suspend fun write(after: Configuration, stored: StoredObject?): Result<Configuration, PublishError> {
        val nonce = nonces()
        val keys = mutableListOf<String>()
        for ((index, text) in encodeChunks(after).withIndex()) {
            val key = chunkKey(after.generation, nonce, index)
            val written = store.putOnce(key, text, ABSENT_VERSION, nonces())
            if (written.isErr) return written.map { after }.mapError(::unavailable)
            keys += key
        }
        val head = Json.encodeToString(ConfigurationHead(after.generation, keys))
        return store.putOnce(CONFIGURATION_HEAD_KEY, head, stored?.version ?: ABSENT_VERSION, nonce)
            .map { after }
            .mapError { error -> if (error is StoreError.Conflict) lostRace(error) else unavailable(error) }
    }

    private fun lostRace(error: StoreError.Conflict): PublishError {
        val head = error.current?.let { Json.decodeFromString<ConfigurationHead>(it.value) }
        return PublishError.LostRace(head?.generation ?: 0)
    }

    private fun unavailable(error: StoreError): PublishError = PublishError.Unavailable(error.describe())
}
