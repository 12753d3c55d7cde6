package io.jasmineford.core.lease

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.acceptOwnWrite
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/**
 * Ownership of shards by leases in the platform's store.
 *
 * The driver calls [poll] often, makes the store calls that it returns and hands each reply back. At most one call of
 * each kind is outstanding.
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
    private val sightings = HashMap<String, Sighting>()
    private var own = Lease(identity = self, incarnation = incarnations(), renewal = 0)
    private var ownVersion = ABSENT_VERSION
    private var validUntil = Duration.ZERO
    private var nextRenewal = Duration.ZERO
    private var nextRead = Duration.ZERO
    private var mapVersion = ABSENT_VERSION
    private var leaseWrite: Pending<MembershipAction.WriteLease>? = null
    private var mapWrite: MembershipAction.WriteMap? = null
    private var revocation: MembershipAction.Revoke? = null
    private var isReading = false

    /** The newest shard map seen. */
    var map: ShardMap = ShardMap()
        private set

    /** Store revision of [map]. */
    val mapRevision: Long get() = mapVersion

    /** Incarnation of this VM; changes when the lease was revoked. */
    val incarnation: Long get() = own.incarnation

    /** Leases of all VMs as last read, by VM. */
    fun leases(): Map<String, Lease> = sightings.mapValues { it.value.lease }

    /** Reading of this VM's monotonic clock. */
    fun now(): Duration = clock.now()

    /** Whether this VM's lease gives the right to act now. */
    fun isLeaseValid(): Boolean = clock.now() < validUntil

    /** Whether this VM may act for [shard] now. */
    fun mayAct(shard: Int): Boolean {
        val owner = map.shards.getOrNull(shard) ?: return false
        return owner.vm == self.vm && owner.incarnation == own.incarnation && isLeaseValid()
    }

    /** Shards of this VM, whether or not the lease is valid now. */
    fun ownShards(): List<Int> = map.shards.indices.filter {
        map.shards[it].vm == self.vm && map.shards[it].incarnation == own.incarnation
    }

    /** Marks this VM as leaving or as staying; a leaving VM's shards go to others, and its lease says so at once. */
    fun setLeaving(isLeaving: Boolean) {
        if (own.isLeaving == isLeaving) return
        own = own.copy(isLeaving = isLeaving)
        nextRenewal = Duration.ZERO
    }

    /** Gives up every right of this incarnation after its journal was sealed. A new incarnation follows. */
    fun abandon() {
        own = Lease(identity = self, incarnation = incarnations(), renewal = 0, isLeaving = own.isLeaving)
        leaseWrite = null
        validUntil = Duration.ZERO
        nextRenewal = Duration.ZERO
    }

    /** Store calls that are due. */
    fun poll(): List<MembershipAction> = buildList {
        renewalIfDue()?.let { add(it) }
        if (!isReading && clock.now() >= nextRead) {
            isReading = true
            nextRead = clock.now() + settings.listEvery
            add(MembershipAction.ReadAll)
        }
        revocationIfDue()?.let { add(it) }
        mapChangeIfDue()?.let { add(it) }
    }

    /** Takes the reply to [action]. */
    fun onLeaseWritten(action: MembershipAction.WriteLease, reply: Result<StoredObject, StoreError>) {
        val pending = leaseWrite ?: return
        if (pending.action != action) return
        acceptOwnWrite(reply, action.nonce).fold(
            success = { written ->
                leaseWrite = null
                ownVersion = written.version
                own = own.copy(renewal = action.lease.renewal)
                validUntil = maxOf(validUntil, pending.sentAt + settings.timeToLive)
            },
            failure = { error -> onLeaseRefused(action, error) },
        )
    }

    /** Takes the reply to [MembershipAction.ReadAll]. */
    fun onRead(reply: Result<MembershipView, StoreError>) {
        isReading = false
        val view = reply.get() ?: return
        val now = clock.now()
        val seen = view.leases.associate { it.key.removePrefix(LEASE_PREFIX) to it }
        sightings.keys.retainAll(seen.keys)
        for ((vm, stored) in seen) {
            val known = sightings[vm]
            if (known == null || stored.version > known.version) {
                sightings[vm] = Sighting(decodeLease(stored), stored.version, since = now)
            }
        }
        val storedMap = view.map
        if (storedMap != null && storedMap.version > mapVersion) takeMap(storedMap)
    }

    /** Takes the reply to [action]. */
    fun onRevoked(action: MembershipAction.Revoke, reply: Result<StoredObject, StoreError>) {
        if (revocation != action) return
        revocation = null
        nextRead = Duration.ZERO
        acceptOwnWrite(reply, action.nonce).get()?.let { written ->
            sightings[action.lease.identity.vm] = Sighting(action.lease, written.version, since = clock.now())
        }
    }

    /** Takes the reply to [action]. */
    fun onMapWritten(action: MembershipAction.WriteMap, reply: Result<StoredObject, StoreError>) {
        if (mapWrite != action) return
        mapWrite = null
        nextRead = Duration.ZERO
        acceptOwnWrite(reply, action.nonce).get()?.let { if (it.version > mapVersion) takeMap(it) }
    }

    /** Whether [shard] is this VM's and its programs are all in this VM's own journal. */
    fun isServable(shard: Int): Boolean =
        mayAct(shard) && map.shards[shard].journals == listOf(journalId(self.vm, own.incarnation))

    /** Asks for a map in which the shards in [replayed] name only this VM's own journal. */
    fun journalsReplayed(replayed: Set<Int>): MembershipAction.WriteMap? {
        val ownJournal = listOf(journalId(self.vm, own.incarnation))
        return changeMap { shards ->
            shards.mapIndexed { shard, owner ->
                val isOwn = owner.vm == self.vm && owner.incarnation == own.incarnation
                if (shard in replayed && isOwn) owner.copy(journals = ownJournal, isReleased = false) else owner
            }
        }
    }

    /** Shards that this VM should drain and then hand over with [release]. */
    fun shardsToHandOver(): Map<Int, Lease> {
        if (!isLeaseValid()) return emptyMap()
        return shardsToHandOver(map.shards, sightings.values.map { it.lease }, own)
    }

    /** Asks for a map in which [moved] shards have new owners; nothing more is appended for them. */
    fun release(moved: Map<Int, Lease>): MembershipAction.WriteMap? {
        if (!isLeaseValid()) return null
        return changeMap { shards -> handOver(shards, moved.filterKeys { it in ownShards() }, map.epoch + 1) }
    }

    private fun renewalIfDue(): MembershipAction.WriteLease? {
        val now = clock.now()
        val pending = leaseWrite
        if (now < nextRenewal) return null
        nextRenewal = now + settings.renewEvery
        val action = pending?.action ?: MembershipAction.WriteLease(
            lease = own.copy(renewal = own.renewal + 1),
            expectedVersion = ownVersion,
            nonce = nonces(),
        )
        // The right counts from the first time this write was sent, since the first attempt may have taken effect.
        leaseWrite = pending ?: Pending(action, sentAt = now)
        return action
    }

    private fun onLeaseRefused(action: MembershipAction.WriteLease, error: StoreError) {
        if (error !is StoreError.Conflict) return
        leaseWrite = null
        val stored = error.current
        if (action.expectedVersion != ABSENT_VERSION || stored == null) {
            // Another VM revoked the lease, or it was removed: every right of this incarnation has ended.
            own = Lease(identity = self, incarnation = incarnations(), renewal = 0, isLeaving = own.isLeaving)
        }
        validUntil = Duration.ZERO
        ownVersion = stored?.version ?: ABSENT_VERSION
        nextRenewal = Duration.ZERO
    }

    private fun revocationIfDue(): MembershipAction.Revoke? {
        if (revocation != null || !isLeaseValid()) return null
        val now = clock.now()
        val wait = settings.timeToLive + settings.margin
        val expired = sightings.values.firstOrNull {
            it.lease.identity.vm != self.vm && !it.lease.isRevoked && now - it.since >= wait
        } ?: return null
        val action = MembershipAction.Revoke(
            lease = expired.lease.copy(isRevoked = true),
            expectedVersion = expired.version,
            nonce = nonces(),
        )
        revocation = action
        return action
    }

    private fun mapChangeIfDue(): MembershipAction.WriteMap? {
        if (mapWrite != null || !isLeaseValid() || sightings[self.vm]?.lease?.incarnation != own.incarnation) return null
        val live = sightings.values.map { it.lease }.filter { !it.isRevoked }
        return changeMap { shards -> assignOrphans(shards, live, settings.shards, map.epoch + 1) }
    }

    private fun changeMap(change: (List<ShardOwner>) -> List<ShardOwner>): MembershipAction.WriteMap? {
        if (mapWrite != null) return null
        val shards = change(map.shards)
        if (shards == map.shards) return null
        val action = MembershipAction.WriteMap(ShardMap(map.epoch + 1, shards), mapVersion, nonces())
        mapWrite = action
        return action
    }

    private fun takeMap(stored: StoredObject) {
        mapVersion = stored.version
        map = leaseJson.decodeFromString(stored.value)
    }

    private fun decodeLease(stored: StoredObject): Lease = leaseJson.decodeFromString(stored.value)

    private data class Sighting(val lease: Lease, val version: Long, val since: Duration)

    private data class Pending<T>(val action: T, val sentAt: Duration)
}

/** JSON format of leases and the shard map. */
val leaseJson: Json = Json { ignoreUnknownKeys = true }
