package io.jasmineford.gateway.rollout

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectPage
import io.jasmineford.gateway.store.SilentObjectStore
import io.jasmineford.gateway.store.StoreReply
import io.jasmineford.gateway.store.StoredObject
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Orders as `TO/SECONDS` and status as `STATE/TO`. */
internal object TestFormat : RolloutFormat {
    override fun order(stored: StoredObject): Result<RolloutOrder, String> = Ok(decode(stored))

    fun decode(stored: StoredObject): RolloutOrder {
        val (to, seconds) = (stored.spec as JsonPrimitive).content.split('/')
        val status = (stored.status as? JsonPrimitive)?.content?.split('/')
            ?.let { (state, version) -> RolloutStatus(RolloutOutcome.valueOf(state), version) }
        return RolloutOrder(stored.name, to, seconds.toInt().seconds, status)
    }

    override fun status(status: RolloutStatus): JsonElement = JsonPrimitive("${status.outcome}/${status.to}")
}

/** Store of orders in virtual time that can be down or slow, lose replies or its history, and be written by others. */
internal class FakeRolloutStore(private val scheduler: VirtualScheduler, private val random: Random) {
    private class Watch(val revision: Long, val client: Client, val onReply: (StoreReply<ObjectPage>) -> Unit)

    private val objects = HashMap<String, StoredObject>()
    private val watches = ArrayList<Watch>()
    private var revision = 10L

    /** Final states that took effect, in order. */
    val finals = ArrayList<RolloutStatus>()
    var isUp = true
    var delay = 5.milliseconds
    var lostReplies = 0.0
    var competingWrites = 0.0

    fun order(service: String, to: String, seconds: Int) =
        change(StoredObject(service, ++revision, JsonPrimitive("$to/$seconds")))

    fun delete(service: String) = change(StoredObject(service, ++revision, spec = null, isDeleted = true))

    fun statusOf(service: String): RolloutStatus? =
        objects[service]?.let { TestFormat.decode(it).status }

    /** Ends all watches with the reply that the history is gone. */
    fun loseHistory() = watches.toList().also { watches.clear() }.forEach { it.onReply(StoreReply.HistoryGone) }

    private fun change(next: StoredObject) {
        if (next.isDeleted) objects.remove(next.name) else objects[next.name] = next
        if (!isUp) return
        val due = watches.filter { it.client.isReachable }
        watches.removeAll(due.toSet())
        due.forEach { watch ->
            scheduler.after(delay) { watch.onReply(StoreReply.Success(ObjectPage(listOf(next), next.revision, null))) }
        }
    }

    private fun write(name: String, status: JsonElement, at: Long): StoreReply<Unit> {
        val known = objects[name] ?: return StoreReply.NotFound
        if (random.nextDouble() < competingWrites) change(known.copy(revision = ++revision))
        val isCurrent = objects.getValue(name).revision == at
        if (isCurrent) {
            change(known.copy(revision = ++revision, status = status))
            statusOf(name)?.takeIf { it.outcome != RolloutOutcome.RUNNING }?.let(finals::add)
        }
        return if (isCurrent) StoreReply.Success(Unit) else StoreReply.Conflict
    }

    /** Client of one daemon. */
    inner class Client : SilentObjectStore() {
        var isReachable = true
        private val isAnswered get() = isUp && isReachable

        override fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit) =
            scheduler.after(delay) {
                val page = ObjectPage(objects.values.toList(), revision, after = null)
                onReply(if (isAnswered) StoreReply.Success(page) else StoreReply.Unknown("down"))
            }

        override fun watch(
            kind: ObjectKind,
            revision: Long,
            wait: Duration,
            onReply: (StoreReply<ObjectPage>) -> Unit,
        ) {
            val missed = objects.values.filter { it.revision > revision }
            val entry = Watch(revision, this, onReply)
            when {
                !isAnswered -> scheduler.after(delay) { onReply(StoreReply.Unknown("down")) }
                missed.isNotEmpty() -> scheduler.after(delay) {
                    onReply(StoreReply.Success(ObjectPage(missed, missed.maxOf { it.revision }, null)))
                }
                else -> {
                    watches.add(entry)
                    scheduler.after(WATCH_TIME) {
                        if (watches.remove(entry)) onReply(StoreReply.Unknown("cut off"))
                    }
                }
            }
        }

        override fun replaceStatus(
            kind: ObjectKind,
            name: String,
            status: JsonElement,
            revision: Long,
            onReply: (StoreReply<Unit>) -> Unit,
        ) = scheduler.after(delay) {
            val reply = if (isAnswered) write(name, status, revision) else StoreReply.Unknown("down")
            val isLost = random.nextDouble() < lostReplies
            scheduler.after(delay) { onReply(if (isLost) StoreReply.Unknown("lost") else reply) }
        }
    }

    private companion object {
        /** Watches end before the mirrors' wait, so that a watch of a daemon that was cut off is repeated. */
        val WATCH_TIME = 3.seconds
    }
}
