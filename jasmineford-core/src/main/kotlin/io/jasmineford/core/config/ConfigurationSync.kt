package io.jasmineford.core.config

import com.google.common.hash.Hashing
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * What a VM tells a peer about its configuration.
 *
 * @property generation newest generation that the VM has heard of.
 * @property index key of that generation's index; empty when the VM doesn't know it.
 * @property proofAge age of its proof for [generation]; null without one.
 * @property isSettled whether the VM has no publication under way whose outcome it doesn't know.
 * @property zoneAge age of the statement that no VM of its zone has a publication under way; null without one.
 * @property zoneDigest the VMs for which [zoneAge] holds.
 */
data class PeerView(
    val generation: Long,
    val index: String = "",
    val proofAge: Duration? = null,
    val isSettled: Boolean = false,
    val zoneAge: Duration? = null,
    val zoneDigest: Long = 0,
)

/** What [ConfigurationSync] asks its driver to do. */
sealed interface SyncAction {
    /** Read the head; the reply goes to [ConfigurationSync.onHead]. */
    data class ReadHead(val askedAt: Duration) : SyncAction

    /** Read the index and the missing pieces of [head]; the result goes to [ConfigurationSync.onLoaded]. */
    data class Load(val head: ConfigurationHead) : SyncAction

    /** Read the list of leases; the reply goes to [ConfigurationSync.onMembers]. */
    data class ListMembers(val askedAt: Duration) : SyncAction

    /** Send [view] to [peer]; its view goes to [ConfigurationSync.onReply]. */
    data class Exchange(
        val peer: FleetMember,
        val askedAt: Duration,
        val incarnation: Long,
        val view: PeerView,
    ) : SyncAction
}

/**
 * Keeps the configuration of one VM current and proved. A few VMs a zone (watchers) read the store; the others ask a watcher.
 * When the store doesn't answer, watchers prove that nobody published with a [Census].
 */
class ConfigurationSync(
    private val self: FleetMember,
    private val settings: SyncSettings,
    private val clock: MonotonicClock,
    private val holder: ConfigurationHolder,
) {
    private val startedAt = clock.now()

    /** The VMs that may publish. */
    val members = FleetMembers(self, settings.writeLateness)

    private val census = Census(self, members)
    private var newestHead = ConfigurationHead()
    private var nextRead = startedAt
    private var nextSlowPoll = startedAt
    private var nextAsk = startedAt
    private var nextList = startedAt
    private var nextLoad = startedAt
    private var nextIntroduction = startedAt
    private var failures = 0
    private var writesUnderWay = 0

    /** Name of this VM. */
    val vm: String get() = self.vm

    /** Generation in force. */
    val generation: Long get() = holder.current.generation

    /** Whether this VM watches the store. */
    fun isWatcher(): Boolean = members.watchers(self.zone).any { it.vm == self.vm }

    /** What is due now; the driver calls this often. */
    fun poll(): List<SyncAction> = buildList {
        val now = clock.now()
        if (now >= nextList) {
            // Until the own lease is listed, another VM may publish without knowing this one.
            nextList = now + if (members.isSelfListed) settings.listEvery else settings.retryEvery
            add(SyncAction.ListMembers(now))
        }
        loadIfDue(now)?.let { add(it) }
        introduceIfDue(now)
        if (isWatcher()) pollAsWatcher(now) else pollAsFollower(now)
    }

    /** Takes the head as read after [askedAt]; null when the store didn't answer. Returns what is due at once. */
    fun onHead(askedAt: Duration, head: ConfigurationHead?): List<SyncAction> {
        head ?: return emptyList()
        holder.prove(head.generation, askedAt)
        return onHint(head)
    }

    /** Takes a head that a watch or a peer told; it proves nothing. Returns what is due at once. */
    fun onHint(head: ConfigurationHead): List<SyncAction> {
        holder.heardOf(head.generation)
        if (head.index.isNotEmpty() && head.generation > newestHead.generation) {
            newestHead = head
            nextLoad = clock.now()
        }
        return listOfNotNull(loadIfDue(clock.now()))
    }

    /** Takes a loaded configuration into force. A watcher passes the news on to the VMs that it serves. */
    fun onLoaded(configuration: Configuration): List<SyncAction> {
        if (!holder.offer(configuration) || !isWatcher()) return emptyList()
        return followers().map { exchange(it, view()) }
    }

    /** Takes the members from a list that was asked for at [askedAt]. */
    fun onMembers(askedAt: Duration, listed: List<FleetMember>, incarnation: Long) =
        members.listed(listed, incarnation, askedAt)

    /** Exchange by which this VM makes itself known to [peer], or asks it. */
    fun exchange(peer: FleetMember, view: PeerView = question()): SyncAction.Exchange =
        SyncAction.Exchange(peer, clock.now(), members.incarnation(), view)

    /** Takes the reply to [action]; null when there is none. Returns what is due at once. */
    fun onReply(action: SyncAction.Exchange, view: PeerView?): List<SyncAction> {
        if (view == null) {
            failures++
            return emptyList()
        }
        members.acknowledgedBy(action.peer, action.incarnation)
        holder.heardOf(view.generation)
        view.proofAge?.let { holder.prove(view.generation, action.askedAt - it) }
        census.onReply(action.peer, view, action.askedAt)
        proveByCensus()
        return onHint(ConfigurationHead(view.generation, view.index))
    }

    /** Takes the view of [from], which makes itself known by it, and returns this VM's view. */
    fun answer(from: FleetMember, view: PeerView): Pair<PeerView, List<SyncAction>> {
        members.introduced(from, clock.now())
        val actions = onHint(ConfigurationHead(view.generation, view.index))
        val own = view()
        return (if (view.generation < own.generation) own else own.copy(index = "")) to actions
    }

    /** This VM's view now. */
    fun view(): PeerView {
        val now = clock.now()
        val isCurrent = holder.newestKnown == holder.current.generation
        return PeerView(
            generation = holder.newestKnown,
            index = newestHead.index.takeIf { newestHead.generation == holder.newestKnown }.orEmpty(),
            proofAge = holder.proofAge().takeIf { isCurrent && it <= settings.maxProofAge },
            isSettled = isSettled(),
            zoneAge = census.zoneTime(settledAt(now))?.let { now - it },
            zoneDigest = members.digest(self.zone),
        )
    }

    /** View of a VM that asks; the index is left out, since the receiver asks for it when it needs it. */
    fun question(): PeerView = view().copy(index = "")

    /** Called before this VM sends a write of the head. */
    fun writeBegins() {
        writesUnderWay++
    }

    /** Called once the outcome of that write is known; [accepted] is its head when it took effect. */
    fun writeEnded(accepted: ConfigurationHead?): List<SyncAction> {
        writesUnderWay--
        return accepted?.let { onHint(it) }.orEmpty()
    }

    /** Makes this VM known to others, a few at a time, so that a later publication need not wait for them. */
    private fun MutableList<SyncAction>.introduceIfDue(now: Duration) {
        if (now < nextIntroduction) return
        nextIntroduction = now + settings.retryEvery
        members.unacknowledged(members.all).filter { it.peerAddress.isNotEmpty() }
            .sortedBy { rank(it.vm + self.vm) }
            .take(INTRODUCTIONS_AT_ONCE)
            .forEach { add(exchange(it)) }
    }

    private fun MutableList<SyncAction>.pollAsWatcher(now: Duration) {
        if (now >= nextRead) {
            nextRead = now + settings.readEvery
            add(SyncAction.ReadHead(now))
        }
        if (holder.proofAge() >= settings.censusAge && now >= nextAsk) {
            nextAsk = now + settings.retryEvery
            addAll(censusQuestions())
        }
        proveByCensus()
    }

    private fun MutableList<SyncAction>.pollAsFollower(now: Duration) {
        val age = holder.proofAge()
        val isHeadMissing = holder.newestKnown > newestHead.generation
        if (now >= nextSlowPoll || ((age >= settings.fallbackAge || isHeadMissing) && now >= nextRead)) {
            nextSlowPoll = now + settings.slowPollEvery
            nextRead = now + settings.readEvery
            add(SyncAction.ReadHead(now))
        }
        if (age >= settings.askAge && now >= nextAsk) {
            nextAsk = now + settings.retryEvery
            val watchers = members.watchers(self.zone)
            val watcher = watchers[(rank(self.vm) + failures).mod(watchers.size)]
            add(exchange(watcher))
        }
    }

    /** All VMs of the own zone, and one watcher of each other zone. */
    private fun censusQuestions(): List<SyncAction> {
        val own = members.inZone(self.zone).filter { it.vm != self.vm }
        val others = members.zones.filter { it != self.zone }.map { zone ->
            val watchers = members.watchers(zone)
            watchers[(rank(self.vm) + failures).mod(watchers.size)]
        }
        return (own + others).map { exchange(it) }
    }

    private fun proveByCensus() {
        // A VM whose own lease isn't listed yet may not know a VM that publishes.
        if (!members.isSelfListed) return
        census.fleetTime(settledAt(clock.now()))?.let { holder.prove(holder.newestKnown, it) }
    }

    private fun loadIfDue(now: Duration): SyncAction.Load? {
        val isDue = newestHead.generation > holder.current.generation && now >= nextLoad
        if (!isDue) return null
        nextLoad = now + settings.retryEvery * 2
        return SyncAction.Load(newestHead)
    }

    private fun followers(): List<FleetMember> {
        val watchers = members.watchers(self.zone)
        val names = watchers.mapTo(HashSet()) { it.vm }
        return members.inZone(self.zone)
            .filter { it.vm !in names && watchers[rank(it.vm).mod(watchers.size)].vm == self.vm }
    }

    /** A write that an earlier process of this VM sent may still take effect for a while. */
    private fun isSettled(): Boolean = writesUnderWay == 0 && clock.now() - startedAt >= settings.writeLateness

    private fun settledAt(now: Duration): Duration? = now.takeIf { isSettled() }

    private fun rank(vm: String): Int = Hashing.murmur3_32_fixed().hashString(vm, Charsets.UTF_8).asInt()

    private companion object {
        const val INTRODUCTIONS_AT_ONCE = 8
    }
}
