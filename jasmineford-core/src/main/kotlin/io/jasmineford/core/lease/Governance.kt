package io.jasmineford.core.lease

import kotlin.time.Duration

/** Whether the rights of [holder] have ended and this VM has not promised to leave them alone. */
internal fun MembershipState.hasEnded(holder: LeaseHolder, now: Duration): Boolean =
    (holder in replaced || holder in revoked) && !isPromised(holder, now)

internal fun MembershipState.isPromised(holder: LeaseHolder, now: Duration): Boolean =
    now < (promises[holder] ?: Duration.ZERO)

/** Whether the platform's VM list has missed [vm] for long enough. */
internal fun MembershipState.isGone(vm: String, now: Duration, settings: MembershipSettings): Boolean =
    unlistedSince[vm]?.let { now - it >= settings.goneAfter } == true

/**
 * Whether this VM may revoke leases and change the map: its lease is in the store and valid, and it is a member.
 *
 * Without being a member it may do so when there are none yet, when an earlier process of this VM was one and all that
 * it may have promised is over, or when the platform's VM list says that all members are gone.
 */
internal fun MembershipState.mayGovern(now: Duration, settings: MembershipSettings): Boolean {
    val isLeaseKnown = now < leaseUntil && sightings[self]?.lease?.holder == own.holder
    if (!isLeaseKnown || isSuperseded) return false
    val isSilenceOver = now - incarnationSince >= settings.silenceAfterStart
    return map.members.isEmpty() ||
        own.holder in map.members ||
        (isSilenceOver && map.members.any { it.vm == self }) ||
        (isSilenceOver && map.members.all { isGone(it.vm, now, settings) })
}

/** A lease that was seen unchanged for so long that its holder has lost its right, or null. */
internal fun MembershipState.leaseToRevoke(now: Duration, settings: MembershipSettings): Sighting? =
    sightings.values.firstOrNull {
        val isOther = it.lease.identity.vm != self && !it.lease.isRevoked
        isOther && now - it.since >= settings.takeoverWait && promises.none { (holder, until) ->
            holder.vm == it.lease.identity.vm && now < until
        }
    }

/** A revoked lease of a VM that is gone and that nothing refers to any more, or null. */
internal fun MembershipState.leaseToRemove(now: Duration, settings: MembershipSettings): Sighting? {
    val isWanted = map.members.map { it.vm } + map.shards.flatMap { owner -> owner.withheldFor.map { it.vm } + owner.vm }
    return sightings.values.firstOrNull {
        it.lease.isRevoked && it.lease.identity.vm !in isWanted && isGone(it.lease.identity.vm, now, settings)
    }
}

/** Leases of members that were renewed lately, which can be given shards. [addsMembers] includes those yet to be added. */
internal fun MembershipState.takers(now: Duration, settings: MembershipSettings, addsMembers: Boolean): List<Lease> =
    sightings.values
        .filter { !it.lease.isRevoked && (now - it.since < settings.timeToLive || it.lease.holder == own.holder) }
        .map { it.lease }
        .filter { it.holder in map.members || addsMembers }

/** The map as it should be: without members and owners whose rights have ended, and with new members. */
internal fun MembershipState.desiredMap(now: Duration, settings: MembershipSettings): ShardMap {
    val mayAdd = promises.values.none { now < it }
    val takers = takers(now, settings, addsMembers = mayAdd)
    val isEnded = { holder: LeaseHolder -> hasEnded(holder, now) }
    val members = map.members.filterNot(isEnded) + takers.map { it.holder }
    val shards = assignOrphans(map.shards, takers, settings.shards, map.epoch + 1, isEnded).map { owner ->
        owner.copy(withheldFor = owner.withheldFor.filterNot { it in replaced || isGone(it.vm, now, settings) })
    }
    return map.copy(shards = shards, members = members.toSet())
}

/** State after a read that was sent at [sentAt], with the holders of the map that have no lease. */
internal fun MembershipState.withMissingHolders(
    sentAt: Duration,
    now: Duration,
    settings: MembershipSettings,
): MembershipState {
    val named = map.members + map.shards.map { it.holder } + map.shards.flatMap { it.withheldFor }
    val absent = named.filter { sightings[it.vm]?.lease?.holder != it && it != own.holder }
    val missing = absent.associateWith { missingSince[it] ?: now }
    // The read must begin after the wait: an older one may show leases from before the holder's first renewal.
    val ended = missing.filterValues { sentAt - it >= settings.takeoverWait }.keys
    val revokedNow = sightings.values.filter { it.lease.isRevoked }.map { it.lease.holder }
    return copy(
        missingSince = missing,
        replaced = (replaced + ended).filter { it in named }.toSet(),
        revoked = (revoked + revokedNow).filter { it in named }.toSet(),
    )
}
