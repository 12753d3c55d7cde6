package io.jasmineford.daemon.control

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.SyncAction
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.warnEvent
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.acceptOwnWrite
import io.jasmineford.store.describe
import io.jasmineford.store.storeJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of a write of the head. */
sealed interface HeadOutcome {
    /** The write took effect. */
    data object Accepted : HeadOutcome

    /** Another write took effect first, so this one has no effect. */
    data object Superseded : HeadOutcome

    /** The write was not sent. */
    data object NotSent : HeadOutcome

    /** The write may have taken effect, or may still do so. */
    data class Unknown(val reason: String) : HeadOutcome
}

/**
 * Writes the head. While the outcome of a write is unknown, this VM reports to its peers that it has a publication
 * under way.
 *
 * @param maxWriteDelay longest time for which a write may still take effect after this VM stopped waiting for its
 *   reply.
 */
class HeadWriter(
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val clock: MonotonicClock,
    private val right: PublishingRight,
    private val newNonce: () -> String,
    private val perform: (List<SyncAction>) -> Unit,
    private val maxWriteDelay: Duration,
) {
    /** Writes [head] if the stored version is [expectedVersion]. */
    suspend fun write(head: ConfigurationHead, expectedVersion: Long): HeadOutcome = withContext(NonCancellable) {
        if (!right.begin()) return@withContext HeadOutcome.NotSent
        val outcome = putWithRetries(head, expectedVersion, newNonce())
        when (outcome) {
            HeadOutcome.Accepted -> right.end(head, perform)
            is HeadOutcome.Unknown -> scope.launch { resolveOutcome(expectedVersion) }
            else -> right.end(null, perform)
        }
        outcome
    }

    private suspend fun putWithRetries(head: ConfigurationHead, expectedVersion: Long, nonce: String): HeadOutcome {
        var lastOutcome: HeadOutcome = HeadOutcome.NotSent
        repeat(MAX_ATTEMPTS) {
            if (!right.isLeaseValid()) return lastOutcome
            val reply = store.put(CONFIGURATION_HEAD_KEY, storeJson.encodeToString(head), expectedVersion, nonce)
            lastOutcome = acceptOwnWrite(reply, nonce).fold(
                success = { HeadOutcome.Accepted },
                failure = {
                    if (it is StoreError.Unavailable) HeadOutcome.Unknown(it.describe()) else HeadOutcome.Superseded
                },
            )
            if (lastOutcome !is HeadOutcome.Unknown) return lastOutcome
        }
        return lastOutcome
    }

    /**
     * Waits until a write without a reply has taken effect or no longer can, and then reports the publication as ended.
     */
    private suspend fun resolveOutcome(expectedVersion: Long) {
        val timedOutAt = clock.now()
        log.warnEvent("publication_outcome_unknown", "version" to expectedVersion)
        while (true) {
            val askedAt = clock.now()
            val reply = store.get(CONFIGURATION_HEAD_KEY)
            val stored = reply.get()
            val isOverwritten = reply.isOk && (stored?.version ?: 0) != expectedVersion
            if (isOverwritten || (reply.isOk && askedAt - timedOutAt >= maxWriteDelay)) {
                val head = stored?.let { storeJson.decodeFromString<ConfigurationHead>(it.value) }
                return right.end(head, perform)
            }
            delay(OUTCOME_POLL_INTERVAL)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val OUTCOME_POLL_INTERVAL = 200.milliseconds
        const val MAX_ATTEMPTS = 3
    }
}
