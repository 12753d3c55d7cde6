package io.jasmineford.core.config

import com.google.common.hash.Hashing
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * State of a VM's configuration as sent to a peer.
 *
 * @property generation newest generation that the VM knows of.
 * @property index key of that generation's index; empty when the VM does not know it.
 * @property proofAge age of the VM's proof that [generation] is the newest; null when it has none.
 * @property isSettled whether the VM has no publication in flight whose outcome is unknown.
 * @property zoneAge age of the confirmation that no VM of its zone has a publication in flight; null when there is
 *   none.
 * @property zoneDigest digest of the names of the VMs to which [zoneAge] applies.
 */
data class PeerView(
    val generation: Long,
    val index: String = "",
    val proofAge: Duration? = null,
    val isSettled: Boolean = false,
    val zoneAge: Duration? = null,
    val zoneDigest: Long = 0,
)

/** Input or output that [ConfigurationSync] requests from its driver. */
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
 * Keeps the configuration of one VM current, with a recent proof of that. A few VMs of each zone, the watchers, read
 * the store; the others, the followers, ask a watcher. When the store does not answer, some watchers ask all VMs and so
 * prove with a [PublisherConfirmations] that nothing has been published.
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

    private val confirmations = PublisherConfirmations(self, members)
    private var newestHead = ConfigurationHead()
    private var nextRead = startedAt
    private var nextSlowPoll = startedAt
    private var nextAsk = startedAt
    private var nextList = startedAt
    private var nextLoad = startedAt
    private var nextAnnouncement = startedAt
    private var outageCheckUntil = Duration.ZERO
    private var failures = 0
    private var writesUnderWay = 0

    /** Name of this VM. */
    val vm: String get() = self.vm

    /** Generation in force. */
    val generation: Long get() = holder.current.generation

    /** Whether this VM watches the store. */
    fun isWatcher(): Boolean = members.watchers(self.zone).any { it.vm == self.vm }

    /** Returns the actions that are due now; the driver calls this frequently. */
    fun poll(): List<SyncAction> = buildList {
        val now = clock.now()
        if (now >= nextList) {
            // Until this VM's lease is listed, another VM may publish without knowing this one.
            nextList = now + if (members.isSelfListed) listInterval() else settings.retryEvery
            add(SyncAction.ListMembers(now))
        }
        loadIfDue(now)?.let { add(it) }
        announceIfDue(now)
        if (isWatcher()) pollAsWatcher(now) else pollAsFollower(now)
    }

    /**
     * Applies a head that was read after [askedAt]; null when the store did not answer. Returns actions due at once.
     */
    fun onHead(askedAt: Duration, head: ConfigurationHead?): List<SyncAction> {
        head ?: return emptyList()
        holder.prove(head.generation, askedAt)
        return onHint(head)
    }

    /** Applies a head from a watch or a peer, which is no proof. Returns actions due at once. */
    fun onHint(head: ConfigurationHead): List<SyncAction> {
        holder.observe(head.generation)
        if (head.index.isNotEmpty() && head.generation > newestHead.generation) {
            newestHead = head
            nextLoad = clock.now()
        }
        return listOfNotNull(loadIfDue(clock.now()))
    }

    /** Puts a loaded configuration into force. A watcher then notifies its followers. */
    fun onLoaded(configuration: Configuration): List<SyncAction> {
        if (!holder.putInForce(configuration) || !isWatcher()) return emptyList()
        return followers().map { exchange(it, view()) }
    }

    /** Applies a list of members that was requested at [askedAt]. */
    fun onMembers(askedAt: Duration, listed: List<FleetMember>, incarnation: Long) =
        members.applyList(listed, incarnation, askedAt)

    /** Exchange that announces this VM to [peer] and requests the peer's view. */
    fun exchange(peer: FleetMember, view: PeerView = requestView()): SyncAction.Exchange =
        SyncAction.Exchange(peer, clock.now(), members.incarnation(), view)

    /** Applies the reply to [action]; null when there was none. Returns actions due at once. */
    fun onReply(action: SyncAction.Exchange, view: PeerView?): List<SyncAction> {
        if (view == null) {
            failures++
            return emptyList()
        }
        members.recordAcknowledgement(action.peer, action.incarnation)
        holder.observe(view.generation)
        view.proofAge?.let { holder.prove(view.generation, action.askedAt - it) }
        confirmations.onReply(action.peer, view, action.askedAt)
        proveByConfirmations()
        return onHint(ConfigurationHead(view.generation, view.index))
    }

    /**
     * Handles an exchange from [from], which announces it as a member. Returns this VM's view and actions due at once.
     */
    fun onExchange(from: FleetMember, view: PeerView): Pair<PeerView, List<SyncAction>> {
        members.applyAnnouncement(from, clock.now())
        // A watcher of another zone asks all VMs because of a store outage; it needs this zone's confirmation soon.
        val asksForZone = from.zone != self.zone && (view.proofAge ?: Duration.INFINITE) >= settings.outageCheckAge
        if (asksForZone) outageCheckUntil = clock.now() + settings.maxProofAge
        val actions = onHint(ConfigurationHead(view.generation, view.index))
        val own = view()
        return (if (view.generation < own.generation) own else own.copy(index = "")) to actions
    }

    /** Current view of this VM. */
    fun view(): PeerView {
        val now = clock.now()
        val isCurrent = holder.newestKnown == holder.current.generation
        return PeerView(
            generation = holder.newestKnown,
            index = newestHead.index.takeIf { newestHead.generation == holder.newestKnown }.orEmpty(),
            proofAge = holder.proofAge().takeIf { isCurrent && it <= settings.maxProofAge },
            isSettled = isSettled(),
            zoneAge = confirmations.zoneConfirmedAt(settledAt(now))?.let { now - it },
            zoneDigest = members.digest(self.zone),
        )
    }

    /** View to send with a request. It omits the index, which the receiver requests when it needs it. */
    fun requestView(): PeerView = view().copy(index = "")

    /** Must be called before this VM sends a write of the head. */
    fun onWriteStarted() {
        writesUnderWay++
    }

    /** Must be called once the outcome of that write is known; [accepted] is its head if it took effect. */
    fun onWriteEnded(accepted: ConfigurationHead?): List<SyncAction> {
        writesUnderWay--
        return accepted?.let { onHint(it) }.orEmpty()
    }

    /** Announces this VM to members that have not acknowledged it, a few at a time, before a publication needs them. */
    private fun MutableList<SyncAction>.announceIfDue(now: Duration) {
        if (now < nextAnnouncement) return
        nextAnnouncement = now + settings.retryEvery
        members.unacknowledged(members.all).filter { it.peerAddress.isNotEmpty() }
            .sortedBy { rank(it.vm + self.vm) }
            .take(ANNOUNCEMENTS_AT_ONCE)
            .forEach { add(exchange(it)) }
    }

    private fun MutableList<SyncAction>.pollAsWatcher(now: Duration) {
        if (now >= nextRead) {
            nextRead = now + settings.readEvery
            add(SyncAction.ReadHead(now))
        }
        val isProofOld = holder.proofAge() >= settings.outageCheckAge
        if ((isProofOld || now < outageCheckUntil) && now >= nextAsk) {
            val coordinators = members.outageCoordinators(self.zone)
            nextAsk = now + settings.retryEvery
            if (coordinators.any { it.vm == self.vm }) {
                addAll(outageCheckExchanges())
            } else if (isProofOld) {
                add(exchange(coordinators[(rank(self.vm) + failures).mod(coordinators.size)]))
            }
        }
        proveByConfirmations()
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
            add(exchange(members.watcherOf(self, failures)))
        }
    }

    /** Exchanges with all VMs of this zone, and with one of each other zone's watchers that ask their whole zone. */
    private fun outageCheckExchanges(): List<SyncAction> {
        val own = members.inZone(self.zone).filter { it.vm != self.vm }
        val others = members.zones.filter { it != self.zone }.map { zone ->
            val coordinators = members.outageCoordinators(zone)
            coordinators[(rank(self.vm) + failures).mod(coordinators.size)]
        }
        return (own + others).map { exchange(it) }
    }

    private fun proveByConfirmations() {
        // A VM whose own lease is not listed yet may not know every VM that can publish.
        if (!members.isSelfListed) return
        confirmations.fleetConfirmedAt(settledAt(clock.now()))?.let { holder.prove(holder.newestKnown, it) }
    }

    private fun loadIfDue(now: Duration): SyncAction.Load? {
        val isDue = newestHead.generation > holder.current.generation && now >= nextLoad
        if (!isDue) return null
        nextLoad = now + settings.retryEvery * 2
        return SyncAction.Load(newestHead)
    }

    /**
     * Time between reads of the list of leases. It grows with the number of members, so that the bytes read per second
     * stay constant. VMs that do not ask all VMs in an outage need the list only to find watchers and read it less
     * often.
     */
    private fun listInterval(): Duration {
        val isCoordinator = members.outageCoordinators(self.zone).any { it.vm == self.vm }
        val sizeFactor = maxOf(1.0, members.all.size / MEMBERS_AT_FULL_RATE)
        return settings.listEvery * sizeFactor * (if (isCoordinator) 1 else OTHERS_INTERVAL_FACTOR)
    }

    private fun followers(): List<FleetMember> {
        val watchers = members.watchers(self.zone).mapTo(HashSet()) { it.vm }
        return members.inZone(self.zone).filter { it.vm !in watchers && members.watcherOf(it).vm == self.vm }
    }

    /** Whether no write of this VM may still take effect, including those of an earlier process on it. */
    private fun isSettled(): Boolean = writesUnderWay == 0 && clock.now() - startedAt >= settings.writeLateness

    private fun settledAt(now: Duration): Duration? = now.takeIf { isSettled() }

    private fun rank(vm: String): Int = Hashing.murmur3_32_fixed().hashString(vm, Charsets.UTF_8).asInt()

    private companion object {
        const val ANNOUNCEMENTS_AT_ONCE = 8
        const val MEMBERS_AT_FULL_RATE = 20.0
        const val OTHERS_INTERVAL_FACTOR = 8
    }
}
