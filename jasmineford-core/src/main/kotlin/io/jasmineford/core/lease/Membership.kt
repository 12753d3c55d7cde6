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
 * Shard ownership based on leases in the platform's object store, as a state machine without I/O.
 *
 * The driver calls [poll] periodically, executes the returned calls and passes each reply back. At most one call of
 * each kind is outstanding.
 *
 * @param nonces source of unique write nonces.
 * @param incarnations source of strictly increasing incarnation numbers.
 */
class Membership(
    private val self: VmIdentity,
    private val settings: MembershipSettings,
    private val clock: MonotonicClock,
    private val nonces: () -> String,
    private val incarnations: () -> Long,
) {
    /** Complete protocol state; immutable, so that tests can fork it. */
    internal var state = MembershipState(
        own = Lease(identity = self, incarnation = incarnations(), renewal = 0),
        incarnationSince = clock.now(),
        lastPoll = clock.now(),
    )

    private val releases = HashMap<Int, Long>()

    /** The newest shard map read from the store. */
    val map: ShardMap get() = state.map

    /** Store revision of [map]. */
    val mapRevision: Long get() = state.mapVersion

    /** Current incarnation of this VM; a new one starts when the lease is revoked. */
    val incarnation: Long get() = state.own.incarnation

    /** Whether a newer process of this VM holds its lease, which permanently fences this process. */
    val isSuperseded: Boolean get() = state.isSuperseded

    /** Leases of all VMs as last read, by VM name. */
    fun leases(): Map<String, Lease> = state.observedLeases.mapValues { it.value.lease }

    /** Current time on this VM's monotonic clock. */
    fun now(): Duration = clock.now()

    /** Guaranteed remaining validity of this VM's lease, promises included; zero or negative when it has expired. */
    fun remainingLease(): Duration = maxOf(state.leaseValidUntil, state.promisedUntil) - clock.now()

    /** Whether this VM's lease is valid now, by renewal or by promises. */
    fun isLeaseValid(): Boolean = remainingLease().isPositive()

    /** Whether this VM owns [shard] and its lease is valid now. */
    fun isActiveOwner(shard: Int): Boolean = isOwner(shard) && isLeaseValid()

    /** Shards assigned to this VM, whether or not its lease is valid now. */
    fun ownShards(): List<Int> = map.shards.indices.filter { map.shards[it].holder == state.own.holder }

    /**
     * Whether this VM, whose lease has expired, may still lend out its fallback share of the token buckets of [shard].
     * A new owner leaves that share unused. Not allowed after a process pause, since a new process of this VM may have
     * started meanwhile.
     */
    fun mayUseFallback(shard: Int): Boolean =
        isOwner(shard) &&
            !isLeaseValid() &&
            state.pausedAt == null &&
            clock.now() - state.lastPoll < settings.timeToLive

    /** Number of former owners of [shard] whose fallback shares must stay unused. */
    fun withheldShares(shard: Int): Int = map.shards.getOrNull(shard)?.withheldFor?.size ?: 0

    /**
     * Marks this VM as leaving or staying, and renews the lease at once to publish it. A leaving VM hands over its
     * shards.
     */
    fun setLeaving(isLeaving: Boolean) {
        if (state.own.isLeaving == isLeaving) return
        state = state.copy(own = state.own.copy(isLeaving = isLeaving), nextRenewal = Duration.ZERO)
    }

    /** Ends this incarnation, whose journal was sealed by another VM, and starts a new one. */
    fun endIncarnation() = startIncarnation(state.ownVersion, incarnations())

    /** Returns the store and peer calls that are due. */
    fun poll(): List<MembershipAction> {
        val now = clock.now()
        val isPaused = now - state.lastPoll >= settings.timeToLive
        state = state.copy(lastPoll = now, pausedAt = if (isPaused) now else state.pausedAt)
        if (state.isSuperseded) return emptyList()
        val actions = listOfNotNull(renewalIfDue(now), readIfDue(now), vmListIfDue(now)) + promisesIfDue(now)
        return actions + listOfNotNull(revocationIfDue(now), removalIfDue(now), mapWriteIfDue(now))
    }

    /** Handles the reply to [action]. */
    fun onLeaseWritten(action: MembershipAction.WriteLease, reply: Result<StoredObject, StoreError>) {
        val pending = state.leaseWrite?.takeIf { it.action.nonce == action.nonce } ?: return
        val now = clock.now()
        acceptOwnWrite(reply, action.nonce).fold(
            success = { written ->
                state = state.copy(
                    leaseWrite = null,
                    ownVersion = written.version,
                    own = state.own.copy(renewal = action.lease.renewal),
                    leaseValidUntil = maxOf(state.leaseValidUntil, pending.sentAt + settings.timeToLive),
                    // Validity counts from the first attempt, which may be long ago after retries: renew again at once.
                    nextRenewal = if (pending.attempts > 1) now else state.nextRenewal,
                    pausedAt = state.pausedAt?.takeIf { it > pending.sentAt },
                )
            },
            failure = { error -> if (error is StoreError.Conflict) onLeaseConflict(action, error.current) },
        )
    }

    /** Handles the reply to [MembershipAction.ReadAll]. */
    fun onRead(reply: Result<MembershipView, StoreError>) {
        val sentAt = state.readSentAt ?: return
        state = state.copy(readSentAt = null)
        val view = reply.get() ?: return
        val now = clock.now()
        // During a store outage the other VMs could not renew either, so a gap between reads restarts all expiry
        // timers.
        val isReadGap = now - state.lastRead > settings.timeToLive / 2
        val observedLeases = view.leases.associate { stored ->
            val vm = stored.key.removePrefix(LEASE_PREFIX)
            val known = state.observedLeases[vm]
            val isNewer = known == null || stored.version > known.version
            vm to if (isNewer) {
                ObservedLease(decodeLease(stored), stored.version, now)
            } else {
                known.copy(since = if (isReadGap) now else known.since)
            }
        }
        val missing = if (isReadGap) emptyMap() else state.missingSince
        state = state.copy(observedLeases = observedLeases, missingSince = missing, lastRead = now)
        view.map?.let(::acceptMap)
        state = state.withMissingHolders(sentAt, now, settings)
    }

    /** Handles the reply to [MembershipAction.ReadVms]. */
    fun onVmsRead(reply: Result<List<VmListing>, StoreError>) {
        state = state.copy(isReadingVms = false)
        val listed = reply.get()?.map { it.name }?.toSet() ?: return
        // A list without this VM is stale, or the platform does not maintain one.
        val known = if (self.vm in listed) knownVms() - listed else emptySet()
        state = state.copy(unlistedSince = known.associateWith { state.unlistedSince[it] ?: clock.now() })
    }

    /** Handles the reply to [action]. */
    fun onRevoked(action: MembershipAction.Revoke, reply: Result<StoredObject, StoreError>) {
        if (state.revocation?.action != action) return
        acceptOwnWrite(reply, action.nonce).fold(
            success = { written ->
                val observed = ObservedLease(action.lease, written.version, since = clock.now())
                state = state.copy(
                    observedLeases = state.observedLeases + (action.lease.identity.vm to observed),
                    revokedHolders = state.revokedHolders + action.lease.holder,
                )
                revocationEnded()
            },
            failure = { error -> if (error is StoreError.Unavailable) resendRevocation(action) else revocationEnded() },
        )
    }

    /** Handles the reply to [action]. */
    fun onLeaseRemoved(action: MembershipAction.RemoveLease) {
        if (state.removal == action) state = state.copy(removal = null, nextRead = Duration.ZERO)
    }

    /** Handles the reply to [action]. */
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

    /** Answers another VM's [request] for a promise not to revoke its lease; true binds this VM. */
    fun promise(request: PromiseRequest): Boolean {
        val now = clock.now()
        if (!state.canPromise(request, now, settings)) return false
        // The margin covers clocks that run at slightly different rates.
        state = state.withPromise(request.holder, until = now + request.interval + settings.margin, now)
        return true
    }

    /** Handles the reply to [action]; [isPromised] is false when there was none. */
    fun onPromise(action: MembershipAction.RequestPromise, isPromised: Boolean) {
        if (isPromised) state = state.withPromiseOf(action.member, action.round, settings)
    }

    /** Whether this VM owns [shard] and its own journal holds all programs of the shard. */
    fun isServable(shard: Int): Boolean = isActiveOwner(shard) && map.shards[shard].journals == listOf(ownJournal)

    /**
     * Returns a write of a map in which the shards in [replayed] list only this VM's own journal, or null when another
     * map write is pending. [poll] retries a failed write on top of the newest map.
     */
    fun journalsReplayed(replayed: Set<Int>): MembershipAction.WriteMap? {
        state = state.copy(replayed = state.replayed + replayed)
        return changeMap(withReplayedJournals(map))
    }

    /** Shards that this VM should drain and then hand over with [release], with the lease of each new owner. */
    fun shardsToHandOver(): Map<Int, Lease> {
        if (!isLeaseValid()) return emptyMap()
        return shardsToHandOver(map.shards, state.candidates(clock.now(), settings, addsMembers = false), state.own)
    }

    /**
     * Returns a write of a map that gives the [moved] shards to new owners, or null when none is possible now. This VM
     * stops acting for these shards at once and resumes only if the write is known to have failed.
     */
    fun release(moved: Map<Int, Lease>): MembershipAction.WriteMap? {
        if (!isLeaseValid()) return null
        val own = moved.filterKeys { it in ownShards() }
        val action = changeMap(map.copy(shards = handOver(map.shards, own, map.epoch + 1)))
        if (action != null) own.keys.forEach { releases[it] = action.map.epoch }
        return action
    }

    /** Map epoch of this VM's latest release of [shard], or null when it never released it. */
    fun releaseEpoch(shard: Int): Long? = releases[shard]

    private val ownJournal: String get() = journalId(self.vm, state.own.incarnation)

    private val retryInterval: Duration get() = settings.renewEvery / 4

    /** Whether the map assigns [shard] to this VM, and no pending map write reassigns it. */
    private fun isOwner(shard: Int): Boolean {
        val pending = state.mapWrite?.action?.map
        return !state.isSuperseded &&
            map.shards.getOrNull(shard)?.holder == state.own.holder &&
            (pending == null || pending.shards.getOrNull(shard)?.holder == state.own.holder)
    }

    private fun knownVms(): Set<String> =
        state.observedLeases.keys +
            map.members.map { it.vm } +
            map.shards.flatMap { owner -> owner.withheldFor.map { it.vm } }

    private fun renewalIfDue(now: Duration): MembershipAction.WriteLease? {
        val pending = state.leaseWrite
        if (now < state.nextRenewal) return null
        val attempts = (pending?.attempts ?: 0) + 1
        val action = pending?.action?.copy(relayAddress = relayFor(attempts)) ?: MembershipAction.WriteLease(
            lease = state.own.copy(renewal = state.own.renewal + 1),
            expectedVersion = state.ownVersion,
            nonce = nonces(),
        )
        // Validity counts from the first attempt, since that one may have taken effect.
        state = state.copy(
            leaseWrite = PendingLeaseWrite(action, sentAt = pending?.sentAt ?: now, attempts),
            nextRenewal = now + if (pending == null) settings.renewEvery else retryInterval,
        )
        return action
    }

    /** Peer that relays this attempt: every second attempt uses one, in rotation; null for a direct write. */
    private fun relayFor(attempts: Int): String? {
        val peers = state.observedLeases.filterKeys { it != self.vm }.values.map { it.lease.identity.peerAddress }
        if (attempts % 2 == 1 || peers.isEmpty()) return null
        return peers[attempts / 2 % peers.size]
    }

    private fun onLeaseConflict(action: MembershipAction.WriteLease, stored: StoredObject?) {
        val current = stored?.let(::decodeLease)
        val own = state.own
        val isFirst = action.expectedVersion == ABSENT_VERSION
        val isNewerProcess = current != null && !isFirst && !current.isRevoked && current.incarnation > own.incarnation
        // The first write of a process conflicts with the lease of its predecessor, which has a smaller incarnation. In
        // all other cases the lease was revoked or removed, which ends this incarnation.
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
            leaseValidUntil = Duration.ZERO,
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
        if (!state.mayChangeOwnership(now, settings)) return null
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
        if (state.removal != null || !state.mayChangeOwnership(now, settings)) return null
        val deleted = state.leaseToRemove(now, settings) ?: return null
        val action = MembershipAction.RemoveLease(deleted.lease.identity.vm, deleted.version)
        state = state.copy(removal = action)
        return action
    }

    private fun mapWriteIfDue(now: Duration): MembershipAction.WriteMap? {
        val pending = state.mapWrite
        if (pending != null) {
            if (pending.resendAt == null || now < pending.resendAt) return null
            state = state.copy(mapWrite = pending.copy(resendAt = null))
            return pending.action
        }
        val desired = if (state.mayChangeOwnership(now, settings)) state.desiredMap(now, settings) else map
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
        stored?.let(::acceptMap)
    }

    private fun acceptMap(stored: StoredObject) {
        if (stored.version <= state.mapVersion) return
        val map: ShardMap = leaseJson.decodeFromString(stored.value)
        val own = map.shards.indices.filter { map.shards[it].holder == state.own.holder }
        state = state.copy(map = map, mapVersion = stored.version, replayed = state.replayed.intersect(own.toSet()))
    }

    private fun decodeLease(stored: StoredObject): Lease = leaseJson.decodeFromString(stored.value)
}

/** JSON format of leases and the shard map. */
val leaseJson: Json = Json { ignoreUnknownKeys = true }
