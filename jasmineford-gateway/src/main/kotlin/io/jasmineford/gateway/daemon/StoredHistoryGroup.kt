package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.StoredObject
import io.jasmineford.gateway.turn.HistoryGroup
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The group of voting history daemons as stored in the platform's store, among the objects of registered daemons. */
class StoredHistoryGroup(private val node: NodeRuntime) {
    private val format = Json { ignoreUnknownKeys = true }
    private var revision = 0L

    /** Group in force; null before it is known. */
    var group: HistoryGroup? = null
        private set

    /** Writes [next] if the stored group has not changed; it is in force once it is read back from the store. */
    fun propose(next: HistoryGroup) {
        val spec = format.encodeToJsonElement(HistoryGroup.serializer(), next)
        node.store.replace(ObjectKind.MEMBER, NAME, spec, revision) { reply ->
            node.log.event("group-proposed", "epoch" to next.epoch, "voters" to next.voters, "reply" to reply)
        }
    }

    /** Applies the stored object; one that can't be decoded leaves the group unchanged. */
    fun apply(stored: StoredObject) {
        revision = stored.revision
        try {
            val next = stored.spec?.let { format.decodeFromJsonElement(HistoryGroup.serializer(), it) }
            if (next != null && next != group) {
                group = next
                node.log.event("group-changed", "epoch" to next.epoch, "voters" to next.voters)
            }
        } catch (e: SerializationException) {
            node.log.event("group-unreadable", "revision" to stored.revision, "reason" to e.message)
        }
    }

    companion object {
        /** Name of the stored object, which no daemon uses as its name. */
        const val NAME = "history-group"
    }
}
