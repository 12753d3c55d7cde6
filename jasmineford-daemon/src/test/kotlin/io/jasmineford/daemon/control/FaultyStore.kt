package io.jasmineford.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ObjectPage
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.VmCondition
import io.jasmineford.store.VmListing
import io.jasmineford.store.WatchEvent
import io.jasmineford.store.storeJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The platform of one simulation in virtual time, and the faults that are active. */
internal class FaultyPlatform(
    val scope: CoroutineScope,
    val random: Random,
    val now: () -> Duration,
) {
    val objects = FakeObjectStore()

    /** Time at which each head was accepted, by generation. */
    val accepted = sortedMapOf<Long, Pair<Duration, ConfigurationHead>>()
    val vms = sortedSetOf<String>()
    val disconnectedVms = HashSet<String>()
    var faultRate = 0.0
    var extraLatency: Duration = Duration.ZERO

    fun put(key: String, value: String, expected: Long, nonce: String): Result<StoredObject, StoreError> {
        val reply = objects.put(key, value, expected, nonce)
        if (key == CONFIGURATION_HEAD_KEY && reply.isOk) {
            val head = storeJson.decodeFromString<ConfigurationHead>(value)
            check(head.generation == (accepted.keys.lastOrNull() ?: 0L) + 1) {
                "expected generations to rise by one, actual ${head.generation} after ${accepted.keys}"
            }
            accepted[head.generation] = now() to head
        }
        return reply
    }
}

/**
 * Store client of one VM. It may be cut off or slow, lose replies, apply writes late, and return stale lists and old
 * watch events.
 */
internal class FaultyStore(
    private val platform: FaultyPlatform,
    private val vm: String,
) : ObjectStore {
    private val random = platform.random
    private var lastPage: Pair<Duration, ObjectPage>? = null
    private val isReachable: Boolean get() = vm !in platform.disconnectedVms && !platform.objects.isDown

    override suspend fun get(key: String): Result<StoredObject?, StoreError> = call { platform.objects.get(key) }

    override suspend fun put(key: String, value: String, expectedVersion: Long, nonce: String) = when {
        isReachable && isFault() -> {
            // The caller times out, and the write takes effect later.
            platform.scope.launch {
                delay(random.nextLong(LATEST_WRITE_MS).milliseconds)
                platform.put(key, value, expectedVersion, nonce)
            }
            delay(TIMEOUT)
            Err(TIMED_OUT)
        }

        else -> call { platform.put(key, value, expectedVersion, nonce) }
    }

    override suspend fun delete(key: String, expectedVersion: Long) = call { platform.objects.delete(key, expectedVersion) }

    override suspend fun list(prefix: String, limit: Int, continueToken: String?): Result<ObjectPage, StoreError> {
        val stale = lastPage?.takeIf { isFault() && platform.now() - it.first < STALENESS && prefix == "leases/" }
        if (stale != null) return Ok(stale.second)
        return call { platform.objects.list(prefix, limit, continueToken) }.also { reply ->
            if (prefix == "leases/") reply.get()?.let { lastPage = platform.now() to it }
        }
    }

    override fun watch(prefix: String, fromRevision: Long): Flow<WatchEvent> = flow {
        // A faulty watch repeats all changes from the beginning.
        var revision = if (isFault()) 0 else fromRevision
        while (isReachable) {
            platform.objects.changesAfter(revision, prefix).get().orEmpty().forEach {
                emit(it)
                revision = it.changed.version
            }
            delay(WATCH_POLL)
        }
    }

    override suspend fun vms(): Result<List<VmListing>, StoreError> =
        call { Ok(platform.vms.map { VmListing(it, "z", VmCondition.LIVE) }) }

    private suspend fun <T> call(block: () -> Result<T, StoreError>): Result<T, StoreError> {
        delay(random.nextLong(1, LATENCY_MS).milliseconds + platform.extraLatency)
        if (!isReachable) return Err(TIMED_OUT)
        val reply = block()
        delay(random.nextLong(1, LATENCY_MS).milliseconds)
        return if (isFault()) Err(TIMED_OUT) else reply
    }

    private fun isFault() = random.nextDouble() < platform.faultRate

    private companion object {
        val TIMED_OUT = StoreError.Unavailable("no reply")
        val TIMEOUT = 1.seconds
        val STALENESS = 1.seconds
        val WATCH_POLL = 50.milliseconds
        const val LATENCY_MS = 15L
        const val LATEST_WRITE_MS = 4_000L
    }
}
