package io.jasmineford.core.lease

import kotlin.time.Duration

/** Whether [holder] has lost its ownership and this VM is not bound by a promise not to revoke it. */
internal fun MembershipState.hasEnded(holder: LeaseHolder, now: Duration): Boolean =
    (holder in expiredHolders || holder in revokedHolders) && !isPromised(holder, now)

/** Whether a promise still forbids this VM to revoke the lease of [holder]. */
internal fun MembershipState.isPromised(holder: LeaseHolder, now: Duration): Boolean =
    now < (promises[holder] ?: Duration.ZERO)

/** Whether [vm] has been missing from the platform's VM list for at least [MembershipSettings.unlistedTimeout]. */
internal fun MembershipState.isDeleted(vm: String, now: Duration, settings: MembershipSettings): Boolean =
    unlistedSince[vm]?.let { now - it >= settings.unlistedTimeout } == true

/**
 * Whether this VM may revoke leases and change the shard map: its lease is stored and valid, and it is a member.
 *
 * A VM that is not a member may do so when the map has no members, when an earlier process of this VM was a member and
 * every promise it may have given has expired, or when the platform no longer lists any member's VM.
 */
internal fun MembershipState.mayChangeOwnership(now: Duration, settings: MembershipSettings): Boolean {
    val isLeaseKnown = now < leaseValidUntil && observedLeases[self]?.lease?.holder == own.holder
    if (!isLeaseKnown || isSuperseded) return false
    val isQuietPeriodOver = now - incarnationSince >= settings.startQuietPeriod
    return map.members.isEmpty() ||
        own.holder in map.members ||
        (isQuietPeriodOver && map.members.any { it.vm == self }) ||
        (isQuietPeriodOver && map.members.all { isDeleted(it.vm, now, settings) })
}

/** A lease not renewed for [takeoverDelay], so that its holder can no longer act on it; null when there is none. */
internal fun MembershipState.leaseToRevoke(now: Duration, settings: MembershipSettings): ObservedLease? =
    observedLeases.values.firstOrNull {
        val isOther = it.lease.identity.vm != self && !it.lease.isRevoked
        isOther && now - it.since >= settings.takeoverDelay && promises.none { (holder, until) ->
            holder.vm == it.lease.identity.vm && now < until
        }
    }

/** A revoked lease of a deleted VM that the shard map no longer refers to, or null. */
internal fun MembershipState.leaseToRemove(now: Duration, settings: MembershipSettings): ObservedLease? {
    val referencedVms = map.members.map { it.vm } +
        map.shards.flatMap { owner -> owner.withheldFor.map { it.vm } + owner.vm }
    return observedLeases.values.firstOrNull {
        it.lease.isRevoked && it.lease.identity.vm !in referencedVms && isDeleted(it.lease.identity.vm, now, settings)
    }
}

/**
 * Recently renewed leases whose holders can receive shards: members, and with [addsMembers] also VMs not yet members.
 */
internal fun MembershipState.candidates(
    now: Duration,
    settings: MembershipSettings,
    addsMembers: Boolean,
): List<Lease> =
    observedLeases.values
        .filter { !it.lease.isRevoked && (now - it.since < settings.timeToLive || it.lease.holder == own.holder) }
        .map { it.lease }
        .filter { it.holder in map.members || addsMembers }

/** The target shard map: expired members and owners are removed, new members added and unowned shards assigned. */
internal fun MembershipState.desiredMap(now: Duration, settings: MembershipSettings): ShardMap {
    val mayAdd = promises.values.none { now < it }
    val candidates = candidates(now, settings, addsMembers = mayAdd)
    val isEnded = { holder: LeaseHolder -> hasEnded(holder, now) }
    val members = map.members.filterNot(isEnded) + candidates.map { it.holder }
    val shards = assignUnownedShards(map.shards, candidates, settings.shards, map.epoch + 1, isEnded).map { owner ->
        val withheldFor = owner.withheldFor.filterNot { it in expiredHolders || isDeleted(it.vm, now, settings) }
        owner.copy(withheldFor = withheldFor)
    }
    return map.copy(shards = shards, members = members.toSet())
}

/** State after a read sent at [sentAt], with updated tracking of holders in the shard map whose lease is missing. */
internal fun MembershipState.withMissingHolders(
    sentAt: Duration,
    now: Duration,
    settings: MembershipSettings,
): MembershipState {
    val referenced = map.members + map.shards.map { it.holder } + map.shards.flatMap { it.withheldFor }
    val absent = referenced.filter { observedLeases[it.vm]?.lease?.holder != it && it != own.holder }
    val missing = absent.associateWith { missingSince[it] ?: now }
    // The read must start after the wait; an earlier read may predate the holder's first renewal.
    val ended = missing.filterValues { sentAt - it >= settings.takeoverDelay }.keys
    val revokedNow = observedLeases.values.filter { it.lease.isRevoked }.map { it.lease.holder }
    return copy(
        missingSince = missing,
        expiredHolders = (expiredHolders + ended).filter { it in referenced }.toSet(),
        revokedHolders = (revokedHolders + revokedNow).filter { it in referenced }.toSet(),
    )
}
