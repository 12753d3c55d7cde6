package io.jasmineford.core.lease

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.VmListing
import io.jasmineford.store.acceptOwnWrite
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/**
 * Ownership of shards by leases in the platform's store.
 *
 * The driver calls [poll] often, makes the calls that it returns and hands each reply back. At most one call of each
 * kind is outstanding.
 *
 * @param nonces source of unique write nonces.
 * @param incarnations source of incarnation numbers, each greater than the one before.
 */
class Membership(
    private val self: VmIdentity,
    private val settings: MembershipSettings,
    private val clock: MonotonicClock,
    private val nonces: () -> String,
    private val incarnations: () -> Long,
) {
    /** All that this VM knows. Tests branch from it. */
    internal var state = MembershipState(
        own = Lease(identity = self, incarnation = incarnations(), renewal = 0),
        incarnationSince = clock.now(),
        lastPoll = clock.now(),
    )

    private val releases = HashMap<Int, Long>()

    /** The newest shard map seen. */
    val map: ShardMap get() = state.map

    /** Store revision of [map]. */
    val mapRevision: Long get() = state.mapVersion

    /** Incarnation of this VM; changes when the lease was revoked. */
    val incarnation: Long get() = state.own.incarnation

    /** Whether a newer process of this VM holds its lease; this process has no rights for good. */
    val isSuperseded: Boolean get() = state.isSuperseded

    /** Leases of all VMs as last read, by VM. */
    fun leases(): Map<String, Lease> = state.sightings.mapValues { it.value.lease }

    /** Reading of this VM's monotonic clock. */
    fun now(): Duration = clock.now()

    /** Time for which this VM surely keeps its right to act, by its lease or by promises; not positive without a right. */
    fun rightLeft(): Duration = maxOf(state.leaseUntil, state.promisedUntil) - clock.now()

    /** Whether this VM has the right to act now. */
    fun isLeaseValid(): Boolean = rightLeft().isPositive()

    /** Whether this VM may act for [shard] now. */
    fun mayAct(shard: Int): Boolean = isOwn(shard) && isLeaseValid()

    /** Shards of this VM, whether or not the lease is valid now. */
    fun ownShards(): List<Int> = map.shards.indices.filter { map.shards[it].holder == state.own.holder }

    /**
     * Whether this VM, which lost its right to act for its [shard], may still give out its fallback share of a bucket.
     * A new owner leaves that share unused. Not so after a pause, since a new process of this VM may have started.
     */
    fun mayUseFallback(shard: Int): Boolean =
        isOwn(shard) && !isLeaseValid() && state.pausedAt == null && clock.now() - state.lastPoll < settings.timeToLive

    /** Former owners of [shard] whose fallback share must stay unused. */
    fun withheldShares(shard: Int): Int = map.shards.getOrNull(shard)?.withheldFor?.size ?: 0

    /** Marks this VM as leaving or as staying; a leaving VM's shards go to others, and its lease says so at once. */
    fun setLeaving(isLeaving: Boolean) {
        if (state.own.isLeaving == isLeaving) return
        state = state.copy(own = state.own.copy(isLeaving = isLeaving), nextRenewal = Duration.ZERO)
    }

    /** Gives up every right of this incarnation after its journal was sealed. A new incarnation follows. */
    fun abandon() = startIncarnation(state.ownVersion, incarnations())

    /** Store and peer calls that are due. */
    fun poll(): List<MembershipAction> {
        val now = clock.now()
        val isPaused = now - state.lastPoll >= settings.timeToLive
        state = state.copy(lastPoll = now, pausedAt = if (isPaused) now else state.pausedAt)
        if (state.isSuperseded) return emptyList()
        val actions = listOfNotNull(renewalIfDue(now), readIfDue(now), vmListIfDue(now)) + promisesIfDue(now)
        return actions + listOfNotNull(revocationIfDue(now), removalIfDue(now), mapWriteIfDue(now))
    }

    /** Takes the reply to [action]. */
    fun onLeaseWritten(action: MembershipAction.WriteLease, reply: Result<StoredObject, StoreError>) {
        val pending = state.leaseWrite?.takeIf { it.action.nonce == action.nonce } ?: return
        val now = clock.now()
        acceptOwnWrite(reply, action.nonce).fold(
            success = { written ->
                state = state.copy(
                    leaseWrite = null,
                    ownVersion = written.version,
                    own = state.own.copy(renewal = action.lease.renewal),
                    leaseUntil = maxOf(state.leaseUntil, pending.sentAt + settings.timeToLive),
                    // The right counts from the first attempt; when that was long ago, the next renewal is due at once.
                    nextRenewal = if (pending.attempts > 1) now else state.nextRenewal,
                    pausedAt = state.pausedAt?.takeIf { it > pending.sentAt },
                )
            },
            failure = { error -> if (error is StoreError.Conflict) onLeaseConflict(action, error.current) },
        )
    }

    /** Takes the reply to [MembershipAction.ReadAll]. */
    fun onRead(reply: Result<MembershipView, StoreError>) {
        val sentAt = state.readSentAt ?: return
        state = state.copy(readSentAt = null)
        val view = reply.get() ?: return
        val now = clock.now()
        // Other VMs could not renew in an outage either, so leases are watched anew after a gap.
        val isGap = now - state.lastRead > settings.timeToLive / 2
        val sightings = view.leases.associate { stored ->
            val vm = stored.key.removePrefix(LEASE_PREFIX)
            val known = state.sightings[vm]
            val isNewer = known == null || stored.version > known.version
            vm to if (isNewer) Sighting(decodeLease(stored), stored.version, now) else known.copy(since = if (isGap) now else known.since)
        }
        val missing = if (isGap) emptyMap() else state.missingSince
        state = state.copy(sightings = sightings, missingSince = missing, lastRead = now)
        view.map?.let(::takeMap)
        state = state.withMissingHolders(sentAt, now, settings)
    }

    /** Takes the reply to [MembershipAction.ReadVms]. */
    fun onVmsRead(reply: Result<List<VmListing>, StoreError>) {
        state = state.copy(isReadingVms = false)
        val listed = reply.get()?.map { it.name }?.toSet() ?: return
        // A list without this VM is too old, or the platform keeps none.
        val known = if (self.vm in listed) knownVms() - listed else emptySet()
        state = state.copy(unlistedSince = known.associateWith { state.unlistedSince[it] ?: clock.now() })
    }

    /** Takes the reply to [action]. */
    fun onRevoked(action: MembershipAction.Revoke, reply: Result<StoredObject, StoreError>) {
        if (state.revocation?.action != action) return
        acceptOwnWrite(reply, action.nonce).fold(
            success = { written ->
                val sighting = Sighting(action.lease, written.version, since = clock.now())
                state = state.copy(
                    sightings = state.sightings + (action.lease.identity.vm to sighting),
                    revoked = state.revoked + action.lease.holder,
                )
                revocationEnded()
            },
            failure = { error -> if (error is StoreError.Unavailable) resendRevocation(action) else revocationEnded() },
        )
    }

    /** Takes the reply to [action]. */
    fun onLeaseRemoved(action: MembershipAction.RemoveLease) {
        if (state.removal == action) state = state.copy(removal = null, nextRead = Duration.ZERO)
    }

    /** Takes the reply to [action]. */
    fun onMapWritten(action: MembershipAction.WriteMap, reply: Result<StoredObject, StoreError>) {
        if (state.mapWrite?.action != action) return
        acceptOwnWrite(reply, action.nonce).fold(
            success = { mapWriteEnded(it) },
            failure = { error ->
                if (error is StoreError.Unavailable) {
                    state = state.copy(mapWrite = PendingWrite(action, resendAt = clock.now() + retryInterval))
                } else {
                    mapWriteEnded((error as? StoreError.Conflict)?.current)
                }
            },
        )
    }

    /** Answers another VM's [request] for a promise; true binds this VM. */
    fun promise(request: PromiseRequest): Boolean {
        val now = clock.now()
        if (!state.canPromise(request, now, settings)) return false
        // The margin covers clocks that run at different rates.
        state = state.withPromise(request.holder, until = now + request.interval + settings.margin, now)
        return true
    }

    /** Takes the reply to [action]; false when there was none. */
    fun onPromise(action: MembershipAction.AskPromise, isPromised: Boolean) {
        if (isPromised) state = state.withPromiseOf(action.member, action.round, settings)
    }

    /** Whether [shard] is this VM's and its programs are all in this VM's own journal. */
    fun isServable(shard: Int): Boolean = mayAct(shard) && map.shards[shard].journals == listOf(ownJournal)

    /**
     * Asks for a map in which the shards in [replayed] name only this VM's own journal. A write that fails is repeated
     * by [poll] from the newest map.
     */
    fun journalsReplayed(replayed: Set<Int>): MembershipAction.WriteMap? {
        state = state.copy(replayed = state.replayed + replayed)
        return changeMap(withReplayedJournals(map))
    }

    /** Shards that this VM should drain and then hand over with [release]. */
    fun shardsToHandOver(): Map<Int, Lease> {
        if (!isLeaseValid()) return emptyMap()
        return shardsToHandOver(map.shards, state.takers(clock.now(), settings, addsMembers = false), state.own)
    }

    /**
     * Asks for a map in which [moved] shards have new owners. From now on this VM does not act for them, unless the
     * write is known to have failed.
     */
    fun release(moved: Map<Int, Lease>): MembershipAction.WriteMap? {
        if (!isLeaseValid()) return null
        val own = moved.filterKeys { it in ownShards() }
        val action = changeMap(map.copy(shards = handOver(map.shards, own, map.epoch + 1)))
        if (action != null) own.keys.forEach { releases[it] = action.map.epoch }
        return action
    }

    /** Epoch of the ownership that this VM's newest release of [shard] gives, or null when it released none. */
    fun releaseEpoch(shard: Int): Long? = releases[shard]

    private val ownJournal: String get() = journalId(self.vm, state.own.incarnation)

    private val retryInterval: Duration get() = settings.renewEvery / 4

    /** Whether the map names this VM, and no write that may have taken effect gives the shard away. */
    private fun isOwn(shard: Int): Boolean {
        val pending = state.mapWrite?.action?.map
        return !state.isSuperseded &&
            map.shards.getOrNull(shard)?.holder == state.own.holder &&
            (pending == null || pending.shards.getOrNull(shard)?.holder == state.own.holder)
    }

    private fun knownVms(): Set<String> =
        state.sightings.keys + map.members.map { it.vm } + map.shards.flatMap { owner -> owner.withheldFor.map { it.vm } }

    private fun renewalIfDue(now: Duration): MembershipAction.WriteLease? {
        val pending = state.leaseWrite
        if (now < state.nextRenewal) return null
        val attempts = (pending?.attempts ?: 0) + 1
        val action = pending?.action?.copy(through = peerFor(attempts)) ?: MembershipAction.WriteLease(
            lease = state.own.copy(renewal = state.own.renewal + 1),
            expectedVersion = state.ownVersion,
            nonce = nonces(),
        )
        // The right counts from the first time this write was sent, since the first attempt may have taken effect.
        state = state.copy(
            leaseWrite = PendingLease(action, sentAt = pending?.sentAt ?: now, attempts),
            nextRenewal = now + if (pending == null) settings.renewEvery else retryInterval,
        )
        return action
    }

    /** Every second attempt goes through a peer, each time another one. */
    private fun peerFor(attempts: Int): String? {
        val peers = state.sightings.filterKeys { it != self.vm }.values.map { it.lease.identity.peerAddress }
        if (attempts % 2 == 1 || peers.isEmpty()) return null
        return peers[attempts / 2 % peers.size]
    }

    private fun onLeaseConflict(action: MembershipAction.WriteLease, stored: StoredObject?) {
        val current = stored?.let(::decodeLease)
        val own = state.own
        val isFirst = action.expectedVersion == ABSENT_VERSION
        val isNewerProcess = current != null && !isFirst && !current.isRevoked && current.incarnation > own.incarnation
        // The first write of a process meets the lease of the process before it, whose number must be smaller. In all
        // other cases the lease was revoked or removed, and every right of this incarnation has ended.
        val isPredecessor = isFirst && current != null && current.incarnation < own.incarnation
        val next = if (isPredecessor) own.incarnation else maxOf(incarnations(), (current?.incarnation ?: 0) + 1)
        val startedAt = state.incarnationSince
        startIncarnation(stored?.version ?: ABSENT_VERSION, next)
        if (isPredecessor) state = state.copy(incarnationSince = startedAt)
        state = state.copy(isSuperseded = isNewerProcess)
    }

    private fun startIncarnation(ownVersion: Long, incarnation: Long) {
        state = state.copy(
            own = Lease(identity = self, incarnation = incarnation, renewal = 0, isLeaving = state.own.isLeaving),
            ownVersion = ownVersion,
            incarnationSince = clock.now(),
            leaseWrite = null,
            leaseUntil = Duration.ZERO,
            promisedUntil = Duration.ZERO,
            replayed = emptySet(),
            nextRenewal = Duration.ZERO,
        )
    }

    private fun readIfDue(now: Duration): MembershipAction? {
        if (state.readSentAt != null || now < state.nextRead) return null
        state = state.copy(readSentAt = now, nextRead = now + settings.listEvery)
        return MembershipAction.ReadAll
    }

    private fun vmListIfDue(now: Duration): MembershipAction? {
        if (state.isReadingVms || now < state.nextVmList) return null
        state = state.copy(isReadingVms = true, nextVmList = now + settings.vmListEvery)
        return MembershipAction.ReadVms
    }

    private fun promisesIfDue(now: Duration): List<MembershipAction> {
        if (!state.needsPromises(now, settings)) return emptyList()
        val (next, requests) = state.startRound(now, settings)
        state = next
        return requests
    }

    private fun revocationIfDue(now: Duration): MembershipAction.Revoke? {
        val pending = state.revocation
        if (pending != null) {
            if (pending.resendAt == null || now < pending.resendAt) return null
            state = state.copy(revocation = pending.copy(resendAt = null))
            return pending.action
        }
        if (!state.mayGovern(now, settings)) return null
        val expired = state.leaseToRevoke(now, settings) ?: return null
        val action = MembershipAction.Revoke(expired.lease.copy(isRevoked = true), expired.version, nonces())
        state = state.copy(revocation = PendingWrite(action))
        return action
    }

    private fun resendRevocation(action: MembershipAction.Revoke) {
        state = state.copy(revocation = PendingWrite(action, resendAt = clock.now() + retryInterval))
    }

    private fun revocationEnded() {
        state = state.copy(revocation = null, nextRead = Duration.ZERO)
    }

    private fun removalIfDue(now: Duration): MembershipAction.RemoveLease? {
        if (state.removal != null || !state.mayGovern(now, settings)) return null
        val gone = state.leaseToRemove(now, settings) ?: return null
        return MembershipAction.RemoveLease(gone.lease.identity.vm, gone.version).also { state = state.copy(removal = it) }
    }

    private fun mapWriteIfDue(now: Duration): MembershipAction.WriteMap? {
        val pending = state.mapWrite
        if (pending != null) {
            if (pending.resendAt == null || now < pending.resendAt) return null
            state = state.copy(mapWrite = pending.copy(resendAt = null))
            return pending.action
        }
        val desired = if (state.mayGovern(now, settings)) state.desiredMap(now, settings) else map
        return if (isLeaseValid()) changeMap(withReplayedJournals(desired)) else null
    }

    private fun withReplayedJournals(from: ShardMap): ShardMap = from.copy(
        shards = from.shards.mapIndexed { shard, owner ->
            val isReplayed = shard in state.replayed && owner.holder == state.own.holder
            if (isReplayed) owner.copy(journals = listOf(ownJournal), isReleased = false) else owner
        },
    )

    private fun changeMap(to: ShardMap): MembershipAction.WriteMap? {
        if (state.mapWrite != null || to == map) return null
        val action = MembershipAction.WriteMap(to.copy(epoch = map.epoch + 1), state.mapVersion, nonces())
        state = state.copy(mapWrite = PendingWrite(action))
        return action
    }

    private fun mapWriteEnded(stored: StoredObject?) {
        state = state.copy(mapWrite = null, nextRead = Duration.ZERO)
        stored?.let(::takeMap)
    }

    private fun takeMap(stored: StoredObject) {
        if (stored.version <= state.mapVersion) return
        val map: ShardMap = leaseJson.decodeFromString(stored.value)
        val own = map.shards.indices.filter { map.shards[it].holder == state.own.holder }
        state = state.copy(map = map, mapVersion = stored.version, replayed = state.replayed.intersect(own.toSet()))
    }

    private fun decodeLease(stored: StoredObject): Lease = leaseJson.decodeFromString(stored.value)
}

/** JSON format of leases and the shard map. */
val leaseJson: Json = Json { ignoreUnknownKeys = true }
