package io.jasmineford.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.jasmineford.core.config.AcceptedChange
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ReleaseError
import io.jasmineford.core.config.changedNames
import io.jasmineford.core.config.encodeConfiguration
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.describe
import io.jasmineford.store.putOnce
import io.jasmineford.store.storeJson
import java.util.concurrent.ConcurrentHashMap

/** Why a publication was not accepted. */
sealed interface PublishError {
    /** The requested change is invalid; nothing changed. */
    data class Rejected(val errors: List<ReleaseError>) : PublishError

    /**
     * Another publication was accepted first; no part of this one is in force.
     *
     * @property current generation in force now.
     * @property names items that changed since the generation that the request builds on.
     */
    data class Superseded(val current: Long, val names: List<String>) : PublishError

    /** This VM may not publish at present; nothing changed. */
    data class NotEntitled(val reason: String) : PublishError

    /** The store failed before the head was written; nothing changed. */
    data class Unavailable(val reason: String) : PublishError

    /**
     * The store did not confirm the write of the head. Repeating the request returns whether the change took effect.
     */
    data class Unknown(val reason: String) : PublishError
}

/** Computes the next configuration from the current one, or returns every error that prevents it. */
typealias ConfigurationChange = (Configuration) -> Result<Configuration, List<ReleaseError>>

/**
 * Configuration change requested by an operator.
 *
 * @property digest identifies the request, so that a repeated request after a lost reply is recognised.
 * @property buildsOn generation that the change was made for; null for a change that applies to any generation.
 */
class PublishRequest(
    val digest: String,
    val buildsOn: Long?,
    val change: ConfigurationChange,
)

/**
 * Publishes configurations: writes the immutable pieces and the index, then updates the head with one conditional
 * write.
 */
class ConfigurationPublisher(
    private val store: ObjectStore,
    private val newNonce: () -> String,
    private val right: PublishingRight,
    private val headWriter: HeadWriter,
) {
    private val reader = ConfigurationReader(store)

    /** Digests of requests for which a head write was sent and whose outcome is still unknown. */
    private val unresolved: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Applies [request] and returns the generation in which the change came into force. */
    suspend fun publish(request: PublishRequest): Result<Long, PublishError> {
        val result = publishWithRetries(request)
        val error = result.getError()
        val claimsNoChange = error is PublishError.Unavailable || error is PublishError.NotEntitled
        if (claimsNoChange && request.digest in unresolved) {
            return Err(PublishError.Unknown("an earlier attempt may have taken effect"))
        }
        if (error !is PublishError.Unknown) unresolved -= request.digest
        return result
    }

    private suspend fun publishWithRetries(request: PublishRequest): Result<Long, PublishError> {
        repeat(MAX_ATTEMPTS) {
            tryPublish(request)?.let { return it }
        }
        return Err(PublishError.Unavailable("other changes were accepted first in all $MAX_ATTEMPTS attempts"))
    }

    /** Makes one attempt; null when another publication was accepted first, so that the head must be read again. */
    private suspend fun tryPublish(request: PublishRequest): Result<Long, PublishError>? {
        val stored = store.get(CONFIGURATION_HEAD_KEY).getOrElse { return Err(PublishError.Unavailable(it.describe())) }
        val head = stored?.let { storeJson.decodeFromString<ConfigurationHead>(it.value) } ?: ConfigurationHead()
        val before = reader.read(head).getOrElse { return Err(PublishError.Unavailable(it.describe())) }
        before.index.recent.firstOrNull { it.request == request.digest }?.let { return Ok(it.generation) }
        if (request.buildsOn != null && request.buildsOn < head.generation) {
            val names = changedNamesSince(request.buildsOn, before.index.recent)
            return Err(PublishError.Superseded(head.generation, names))
        }
        val after = request.change(before.configuration).getOrElse { return Err(PublishError.Rejected(it)) }
        val names = changedNames(before.configuration, after)
        if (names.isEmpty()) return Ok(head.generation)
        right.acquire()?.let { return Err(PublishError.NotEntitled(it)) }
        return write(request, before, stored, after, names)
    }

    private suspend fun write(
        request: PublishRequest,
        before: StoredConfiguration,
        stored: StoredObject?,
        after: Configuration,
        names: List<String>,
    ): Result<Long, PublishError>? {
        val encoded = encodeConfiguration(after, before.index, request.digest, names)
        for ((key, text) in encoded.written) {
            createOnce(key, text)?.let { return Err(PublishError.Unavailable(it.describe())) }
        }
        val isFirstWrite = unresolved.add(request.digest)
        val outcome = headWriter.write(encoded.head, stored?.version ?: ABSENT_VERSION)
        if (outcome == HeadOutcome.NotSent && isFirstWrite) unresolved -= request.digest
        return when (outcome) {
            HeadOutcome.Accepted -> Ok(after.generation).also { encoded.expired.forEach { key -> remove(key) } }
            HeadOutcome.Superseded -> null
            HeadOutcome.NotSent -> Err(PublishError.NotEntitled("this VM's lease ended before the change was written"))
            is HeadOutcome.Unknown -> Err(PublishError.Unknown(outcome.reason))
        }
    }

    /**
     * Creates an immutable object. Its key is derived from its content, so an existing object with that key is equal.
     */
    private suspend fun createOnce(key: String, text: String): StoreError? {
        val error = store.putOnce(key, text, ABSENT_VERSION, newNonce()).getError()
        return error.takeUnless { it is StoreError.Conflict && it.current?.value == text }
    }

    /** Deletes an object that no recent generation uses. On an error the object stays and only takes up space. */
    private suspend fun remove(key: String) {
        val stored = store.get(key).get() ?: return
        store.delete(key, stored.version)
    }

    private fun changedNamesSince(generation: Long, recent: List<AcceptedChange>): List<String> {
        val later = recent.filter { it.generation > generation }
        val names = later.flatMap { it.names }.distinct()
        val isComplete = later.firstOrNull()?.generation == generation + 1
        if (isComplete) return names
        return names + "changes up to generation ${later.firstOrNull()?.generation?.dec() ?: 0}"
    }

    private companion object {
        const val MAX_ATTEMPTS = 5
    }
}
