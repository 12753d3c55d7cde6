package io.jasmineford.gateway.store

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import kotlin.time.Duration

/** Runs actions on the control thread after a delay. */
fun interface Scheduler {
    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit)
}

/**
 * Collaborators of the mirrors of a daemon.
 *
 * @property watchPause time between a change and the next watch, in which further changes gather.
 * @property wasInContact whether the store is known to have answered recently, to this daemon or to a peer.
 */
data class MirrorContext(
    val client: ObjectStoreClient,
    val clock: MonotonicClock,
    val scheduler: Scheduler,
    val log: EventLog,
    val watchPause: () -> Duration = { Duration.ZERO },
    val wasInContact: () -> Boolean = { true },
)

/**
 * Local copy of the objects of one kind, kept up to date by list and watch.
 *
 * Neither a stale list nor a repeated event reverts the cache. After an outage, objects that are missing from the list
 * are kept for [removalGrace], because their registrations may have expired during the outage and be renewed shortly.
 * The store may cut off a waiting watch, which alone is no outage.
 *
 * @param watchWait longest time that one watch request stays open.
 * @param onContact called with the start time of each answered read. Watches are not reported: they may be served from
 *   stale data.
 * @param onChange called with all objects after each change, and after each complete list.
 */
class ObjectMirror(
    private val kind: ObjectKind,
    private val context: MirrorContext,
    private val watchWait: Duration,
    private val removalGrace: Duration = Duration.ZERO,
    private val onContact: (Duration) -> Unit = {},
    private val onChange: (Collection<StoredObject>) -> Unit,
) {
    private val cache = ObjectCache()
    private val outage = StoreOutage(kind, context.clock, context.log)
    private var revision = -1L

    /** Whether the store may have been away since the latest success. */
    private var wasAway = false

    /** Whether a complete list was applied. */
    var isLoaded = false
        private set

    /** Lists the objects from the first page on and then watches for changes. */
    fun start() = list(after = null, seen = HashMap(), lowest = null)

    /** Time since the first failed call after the latest success; null while the store answers. */
    fun outageDuration(): Duration? = outage.duration()

    /**
     * Reads the first page of objects. Unlike a watch, a read is never served from stale data, so its answer confirms
     * contact with the store as of the start of the read.
     */
    fun probe() {
        val startedAt = context.clock.now()
        context.client.list(kind, after = null) { reply ->
            if (reply is StoreReply.Success) {
                onContact(startedAt)
                applyChanges(reply.value.objects)
            } else {
                wasAway = true
                outage.recordFailure(reply)
            }
        }
    }

    /** Lists on from [after]; [lowest] is the lowest revision of the pages before. */
    private fun list(after: String?, seen: HashMap<String, StoredObject>, lowest: Long?) {
        val startedAt = context.clock.now()
        context.client.list(kind, after) { reply ->
            if (reply is StoreReply.Success) {
                onContact(startedAt)
                val page = reply.value
                page.objects.forEach { seen[it.name] = it }
                // A page tells nothing of changes after its own revision.
                val asOf = minOf(lowest ?: page.revision, page.revision)
                if (page.after != null) list(page.after, seen, asOf) else applyList(seen, asOf)
            } else {
                wasAway = true
                retry(reply)
            }
        }
    }

    private fun applyList(seen: Map<String, StoredObject>, asOf: Long) {
        val wasOutage = wasAway
        recordSuccess()
        seen.values.forEach { cache.apply(it) }
        val missing = cache.missingFrom(seen.keys, asOf)
        if (wasOutage && missing.isNotEmpty() && removalGrace > Duration.ZERO) {
            context.scheduler.after(removalGrace) { if (cache.removeUnchanged(missing, asOf)) onChange(cache.all) }
        } else {
            cache.removeUnchanged(missing, asOf)
        }
        revision = asOf
        isLoaded = true
        onChange(cache.all)
        watchAfterPause(hasChanged = true)
    }

    private fun watch() {
        context.client.watch(kind, revision, watchWait) { reply ->
            when (reply) {
                is StoreReply.Success -> {
                    applyChanges(reply.value.objects)
                    revision = maxOf(revision, reply.value.revision)
                    watchAfterPause(hasChanged = reply.value.objects.isNotEmpty())
                }
                is StoreReply.HistoryGone -> {
                    context.log.event("mirror-history-gone", "kind" to kind, "revision" to revision)
                    start()
                }
                else -> {
                    wasAway = wasAway || reply !is StoreReply.Unknown || !context.wasInContact()
                    retry(reply)
                }
            }
        }
    }

    private fun watchAfterPause(hasChanged: Boolean) {
        val pause = if (hasChanged) context.watchPause() else Duration.ZERO
        if (pause > Duration.ZERO) context.scheduler.after(pause, ::watch) else watch()
    }

    private fun applyChanges(objects: List<StoredObject>) {
        recordSuccess()
        if (objects.map { cache.apply(it) }.any { it }) onChange(cache.all)
    }

    private fun recordSuccess() {
        wasAway = false
        outage.recordSuccess()
    }

    private fun retry(reply: StoreReply<*>) {
        outage.recordFailure(reply)
        context.scheduler.after(outage.nextBackoff(), ::start)
    }
}
