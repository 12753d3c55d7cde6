package io.jasmineford.core.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Key of the head object. */
const val CONFIGURATION_HEAD_KEY: String = "config/head"

/**
 * Head of the configuration: the one object whose conditional update puts a generation into force.
 *
 * @property chunks keys of the immutable objects that hold the configuration's text, in order.
 */
@Serializable
data class ConfigurationHead(
    val generation: Long,
    val chunks: List<String>,
)

/** Text of [configuration] split into chunks that fit into one object each. */
fun encodeChunks(configuration: Configuration, chunkLength: Int = CHUNK_LENGTH): List<String> =
    Json.encodeToString(configuration).chunked(chunkLength)

/** Configuration from the text of its chunks. */
fun decodeChunks(chunks: List<String>): Configuration = Json.decodeFromString(chunks.joinToString(""))

/** Key of chunk [index] of one publication; [nonce] keeps racing publications of a generation apart. */
fun chunkKey(generation: Long, nonce: String, index: Int): String = "config/chunks/$generation-$nonce/$index"

/** Characters a chunk; a quarter of an object's limit, since a character takes up to 4 bytes in UTF-8. */
private const val CHUNK_LENGTH = 250_000
