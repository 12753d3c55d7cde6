package io.jasmineford.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ConfigurationIndex
import io.jasmineford.core.config.ConfigurationPiece
import io.jasmineford.core.config.decodeConfiguration
import io.jasmineford.core.config.isContentOf
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.storeJson

/** One generation of the configuration as read from the store. */
data class StoredConfiguration(
    val index: ConfigurationIndex,
    val configuration: Configuration,
)

/**
 * Reads configurations. Pieces are cached, so those that the previously read generation also has are not read again.
 */
class ConfigurationReader(private val store: ObjectStore) {
    private var cachedPieces = emptyMap<String, ConfigurationPiece>()

    /** Reads the whole configuration that [head] refers to; an error when any part of it can't be read. */
    suspend fun read(head: ConfigurationHead): Result<StoredConfiguration, StoreError> {
        if (head.index.isEmpty()) return Ok(StoredConfiguration(ConfigurationIndex(), Configuration()))
        return readContent(head.index).flatMap { text ->
            val index = storeJson.decodeFromString<ConfigurationIndex>(text)
            readPieces(index).map { StoredConfiguration(index, decodeConfiguration(index, it)) }
        }
    }

    private suspend fun readPieces(index: ConfigurationIndex): Result<List<ConfigurationPiece>, StoreError> {
        val cached = cachedPieces
        val read = linkedMapOf<String, ConfigurationPiece>()
        for (key in index.pieces) {
            read[key] = cached[key] ?: storeJson.decodeFromString(readContent(key).getOrElse { return Err(it) })
        }
        cachedPieces = read
        return Ok(read.values.toList())
    }

    private suspend fun readContent(key: String): Result<String, StoreError> = store.get(key).flatMap { stored ->
        when {
            stored == null -> Err(StoreError.Unavailable("object $key is missing"))
            !isContentOf(key, stored.value) -> Err(StoreError.Unavailable("object $key is damaged"))
            else -> Ok(stored.value)
        }
    }
}
