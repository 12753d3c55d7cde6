package io.jasmineford.core.config

import com.google.common.hash.Hashing
import io.jasmineford.core.lease.shardOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Store key of the [ConfigurationHead]. */
const val CONFIGURATION_HEAD_KEY: String = "config/head"

/**
 * Head of the configuration: the object whose conditional update publishes a generation. It is small because some VMs
 * read it several times per second.
 *
 * @property index key of the [ConfigurationIndex]; empty before the first publication.
 */
@Serializable
data class ConfigurationHead(
    val generation: Long = 0,
    val index: String = "",
)

/**
 * Contents of one generation.
 *
 * @property pieces keys of the immutable objects that hold the configuration. A publication writes only changed pieces,
 *   and a VM reads only pieces that it does not hold yet.
 * @property recent the latest accepted changes, oldest first.
 */
@Serializable
data class ConfigurationIndex(
    val generation: Long = 0,
    val pieces: List<String> = emptyList(),
    val serviceState: ServiceState = ServiceState(),
    val recent: List<AcceptedChange> = emptyList(),
)

/**
 * One accepted change.
 *
 * @property request digest of the request for the change, by which a retry after a lost reply is recognised.
 * @property names paths of the changed items, shown to operators whose concurrent change was refused.
 * @property dropped keys of the pieces that this change replaced.
 */
@Serializable
data class AcceptedChange(
    val generation: Long,
    val request: String,
    val names: List<String>,
    val dropped: List<String> = emptyList(),
)

/** Part of the configuration of one organisation. */
@Serializable
data class ConfigurationPiece(
    val organisation: String,
    val content: OrganisationConfiguration,
)

/**
 * Objects of one publication.
 *
 * @property written pieces and index by key, to be written before the head.
 * @property expired keys of pieces that no recent generation uses, to be deleted.
 */
class EncodedConfiguration(
    val head: ConfigurationHead,
    val index: ConfigurationIndex,
    val written: Map<String, String>,
    val expired: List<String>,
)

/** Encodes [after] as the successor of the generation of [before]. */
fun encodeConfiguration(
    after: Configuration,
    before: ConfigurationIndex,
    request: String,
    names: List<String>,
): EncodedConfiguration {
    val known = before.pieces.associateBy { it.substringAfterLast('-') }
    val written = linkedMapOf<String, String>()
    val pieces = piecesOf(after).map { piece ->
        val text = Json.encodeToString(piece)
        val hash = hashOf(text)
        // With the generation in the key, a new piece never gets the key of an equal one that is being deleted.
        known[hash] ?: "$PIECE_PREFIX${after.generation}-$hash".also { written[it] = text }
    }
    val change = AcceptedChange(after.generation, request, shortened(names), dropped = before.pieces - pieces.toSet())
    val recent = before.recent + change
    val index = ConfigurationIndex(after.generation, pieces, after.serviceState, recent.takeLast(RECENT_CHANGES))
    val indexText = Json.encodeToString(index)
    val indexKey = "$INDEX_PREFIX${after.generation}-${hashOf(indexText)}"
    written[indexKey] = indexText
    val expired = recent.dropLast(RECENT_CHANGES).flatMap { it.dropped } - pieces.toSet()
    return EncodedConfiguration(ConfigurationHead(after.generation, indexKey), index, written, expired)
}

/** Whether the hash in [key] is that of [text]; a mismatch means that the object is corrupted. */
fun isContentOf(key: String, text: String): Boolean = key.substringAfterLast('-') == hashOf(text)

/** Assembles the configuration of [index] from its pieces. */
fun decodeConfiguration(index: ConfigurationIndex, pieces: List<ConfigurationPiece>): Configuration {
    val organisations = pieces.groupBy { it.organisation }.mapValues { (_, parts) ->
        OrganisationConfiguration(
            accounts = parts.map { it.content.accounts }.merged(),
            keys = parts.map { it.content.keys }.merged(),
            deployments = parts.map { it.content.deployments }.merged(),
            routes = parts.map { it.content.routes }.merged(),
        )
    }
    return Configuration(index.generation, organisations, index.serviceState)
}

private fun piecesOf(configuration: Configuration): List<ConfigurationPiece> =
    configuration.organisations.toSortedMap().flatMap { (organisation, content) ->
        val parts = split(content.accounts) { OrganisationConfiguration(accounts = it) } +
            split(content.keys) { OrganisationConfiguration(keys = it) } +
            split(content.deployments) { OrganisationConfiguration(deployments = it) } +
            split(content.routes) { OrganisationConfiguration(routes = it) }
        parts.map { ConfigurationPiece(organisation, it) }
    }

/**
 * Splits [items] into groups of about [ITEMS_PER_PIECE]. The number of groups is a power of two, so it changes rarely.
 */
private fun <T> split(
    items: Map<String, T>,
    wrap: (Map<String, T>) -> OrganisationConfiguration,
): List<OrganisationConfiguration> {
    val groups = (items.size / ITEMS_PER_PIECE).coerceAtLeast(1).takeHighestOneBit()
    return items.entries.groupBy { shardOf(it.key, groups) }.toSortedMap().values.map { group ->
        wrap(group.associate { it.key to it.value }.toSortedMap())
    }
}

private fun shortened(names: List<String>): List<String> =
    if (names.size <= MAX_NAMES) names else names.take(MAX_NAMES) + "${names.size - MAX_NAMES} more"

private fun <T> List<Map<String, T>>.merged(): Map<String, T> = buildMap { this@merged.forEach { putAll(it) } }

private fun hashOf(text: String): String =
    Hashing.sha256().hashString(text, Charsets.UTF_8).toString().take(HASH_DIGITS)

/** Digest of the text of a request, by which a retry is recognised. */
fun requestDigest(text: String): String = hashOf(text)

private const val PIECE_PREFIX = "config/pieces/"
private const val INDEX_PREFIX = "config/index/"
private const val HASH_DIGITS = 16
private const val ITEMS_PER_PIECE = 32

/** Number of changes with which a retried request is compared; 16 cover 2.5 minutes at 9,000 changes a day. */
private const val RECENT_CHANGES = 16

/** Largest number of paths kept for one change; every VM reads them with the index. */
private const val MAX_NAMES = 5
