package io.jasmineford.gateway.store

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.noOpLog
import kotlinx.serialization.json.JsonPrimitive
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ObjectMirrorTest {
    private val clock = VirtualClock()
    private val scheduler = VirtualScheduler(clock)
    private val client = ScriptedClient()
    private var seen: Map<String, String> = emptyMap()
    private var confirmedAt = -Duration.INFINITE
    private var isInContact = true
    private val mirror = ObjectMirror(
        kind = ObjectKind.ENDPOINT,
        context = MirrorContext(client, clock, scheduler, noOpLog, wasInContact = { isInContact }),
        watchWait = 15.seconds,
        removalGrace = 2.seconds,
        onContact = { confirmedAt = it },
    ) { objects -> seen = objects.associate { it.name to (it.spec as JsonPrimitive).content } }

    private fun stored(name: String, revision: Long, text: String = "r$revision", isDeleted: Boolean = false) =
        StoredObject(name, revision, JsonPrimitive(text), isDeleted)

    private fun page(revision: Long, vararg objects: StoredObject, after: String? = null) =
        StoreReply.Success(ObjectPage(objects.toList(), revision, after))

    @Test
    fun `pages are merged and the watch starts at the revision of the first page`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), after = "a"))
        client.answerList(page(9, stored("b", 4)))
        assertEquals(mapOf("a" to "r3", "b" to "r4"), seen)
        assertEquals(5, client.watchedRevision)
    }

    @Test
    fun `an object that is newer than the page that lacks it stays`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        client.answerWatch(page(8, stored("c", 8)))
        client.answerWatch(StoreReply.HistoryGone)
        client.answerList(page(9, stored("a", 3), after = "a"))
        client.answerList(page(7, stored("b", 4)))
        assertEquals(setOf("a", "b", "c"), seen.keys)
        assertEquals(7, client.watchedRevision)
    }

    @Test
    fun `watch events replace and remove objects and events of a lower revision are ignored`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        client.answerWatch(page(8, stored("a", 7), stored("b", 8, isDeleted = true)))
        assertEquals(mapOf("a" to "r7"), seen)
        client.answerWatch(page(9, stored("a", 6), stored("b", 4)))
        assertEquals(mapOf("a" to "r7"), seen)
    }

    @Test
    fun `a stale list after the change history was dropped does not revert the copy`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3)))
        client.answerWatch(page(8, stored("a", 7)))
        client.answerWatch(StoreReply.HistoryGone)
        client.answerList(page(4, stored("a", 3)))
        assertEquals(mapOf("a" to "r7"), seen)
    }

    @Test
    fun `objects missing after an outage are kept when they are registered again within the grace time`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        client.answerWatch(StoreReply.Unknown("no answer"))
        scheduler.advance(200.milliseconds)
        client.answerList(StoreReply.Unknown("no answer"))
        scheduler.advance(300.milliseconds)
        client.answerList(page(9, stored("a", 3)))
        assertEquals(setOf("a", "b"), seen.keys)
        client.answerWatch(page(10, stored("b", 10)))
        scheduler.advance(3.seconds)
        assertEquals(setOf("a", "b"), seen.keys)
    }

    @Test
    fun `objects still missing after the grace time are removed`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        client.answerWatch(StoreReply.Refused(503))
        scheduler.advance(200.milliseconds)
        client.answerList(page(9, stored("a", 3)))
        scheduler.advance(3.seconds)
        assertEquals(setOf("a"), seen.keys)
    }

    /** Guards against an endpoint that stays in use because the watch was cut off as its entry was removed. */
    @Test
    fun `an object that is missing after the store cut off a watch is gone at once`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        client.answerWatch(StoreReply.Unknown("connection closed"))
        scheduler.advance(200.milliseconds)
        client.answerList(page(9, stored("a", 3)))
        assertEquals(setOf("a"), seen.keys)
    }

    @Test
    fun `an object that is missing after a watch is kept when the store did not answer anyone meanwhile`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        isInContact = false
        client.answerWatch(StoreReply.Unknown("no answer in time"))
        isInContact = true
        scheduler.advance(200.milliseconds)
        client.answerList(page(9, stored("a", 3)))
        assertEquals(setOf("a", "b"), seen.keys)
        scheduler.advance(3.seconds)
        assertEquals(setOf("a"), seen.keys)
    }

    @Test
    fun `an outage ends with the first success and does not delay later removals`() {
        mirror.start()
        client.answerList(page(5, stored("a", 3), stored("b", 4)))
        client.answerWatch(StoreReply.Refused(503))
        scheduler.advance(200.milliseconds)
        client.answerList(page(6, stored("a", 3), stored("b", 4)))
        client.answerWatch(StoreReply.Unknown("connection closed"))
        scheduler.advance(200.milliseconds)
        client.answerList(page(9, stored("a", 3)))
        assertEquals(setOf("a"), seen.keys)
    }

    @Test
    fun `retries back off while the store is unavailable`() {
        mirror.start()
        repeat(20) {
            client.answerList(StoreReply.Unknown("no answer"))
            scheduler.advance(1.seconds)
        }
        assertTrue(client.lists <= 21, "actual ${client.lists}")
    }

    @Test
    fun `an answered read confirms contact as of its start and an answered watch confirms none`() {
        mirror.start()
        clock.advance(50.milliseconds)
        client.answerList(page(5))
        assertEquals(Duration.ZERO, confirmedAt)
        client.answerWatch(page(6))
        assertEquals(Duration.ZERO, confirmedAt)
        mirror.probe()
        clock.advance(10.milliseconds)
        client.answerList(page(6))
        assertEquals(50.milliseconds, confirmedAt)
    }

    @Test
    fun `the outage lasts from a failed probe until a call succeeds`() {
        mirror.start()
        client.answerList(page(5))
        mirror.probe()
        client.answerList(StoreReply.Refused(429))
        clock.advance(2.seconds)
        assertEquals(2.seconds, mirror.outageDuration())
        mirror.probe()
        client.answerList(page(5))
        assertEquals(null, mirror.outageDuration())
    }
}

/** Client whose replies are given by the test, one at a time. */
private class ScriptedClient : SilentObjectStore() {
    private val listReplies = ArrayDeque<(StoreReply<ObjectPage>) -> Unit>()
    private val watchReplies = ArrayDeque<(StoreReply<ObjectPage>) -> Unit>()
    var watchedRevision = -1L
    var lists = 0

    override fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit) {
        lists++
        listReplies.addLast(onReply)
    }

    override fun watch(kind: ObjectKind, revision: Long, wait: Duration, onReply: (StoreReply<ObjectPage>) -> Unit) {
        watchedRevision = revision
        watchReplies.addLast(onReply)
    }

    fun answerList(reply: StoreReply<ObjectPage>) = listReplies.removeFirst()(reply)

    fun answerWatch(reply: StoreReply<ObjectPage>) = watchReplies.removeLast()(reply)
}
