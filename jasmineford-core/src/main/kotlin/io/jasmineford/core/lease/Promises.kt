package io.jasmineford.core.lease

import kotlin.time.Duration

/**
 * Whether this VM can give the promise that [request] asks for.
 *
 * A member bound by a promise neither revokes the holder's lease nor adds members. When all members of the newest map
 * known to the holder have promised, no VM can take its shards before the first promise expires. The holder counts the
 * interval from before its request and each member from its reply, so no clocks are compared.
 */
internal fun MembershipState.canPromise(request: PromiseRequest, now: Duration, settings: MembershipSettings): Boolean {
    val seen = observedLeases[request.holder.vm]?.lease
    val isHolderKnown = seen?.holder == request.holder && !seen.isRevoked && request.holder !in expiredHolders
    val isMember = request.member == own.holder && own.holder in map.members && !isSuperseded
    // After a pause, another process of this VM may have started, which does not know promises given here.
    val isNotPaused = pausedAt == null && now - lastPoll < settings.timeToLive
    val addsMembers = mapWrite?.let { !map.members.containsAll(it.action.map.members) } == true
    val isRevoking = revocation?.action?.lease?.identity?.vm == request.holder.vm
    val isBounded = request.interval <= settings.promiseInterval
    return isHolderKnown && isMember && isNotPaused && isBounded &&
        !addsMembers && !isRevoking && map.epoch <= request.mapEpoch
}

/** State in which the lease of [holder] must not be revoked before [until]. */
internal fun MembershipState.withPromise(holder: LeaseHolder, until: Duration, now: Duration): MembershipState =
    copy(promises = promises.filterValues { it > now } + (holder to until))

/** Whether renewals have failed for so long that the lease must be extended by promises. */
internal fun MembershipState.needsPromises(now: Duration, settings: MembershipSettings): Boolean {
    val isLate = leaseValidUntil - now <= settings.timeToLive - settings.renewEvery * FAILED_RENEWAL_INTERVALS
    val isMember = own.holder in map.members && !isSuperseded
    return isMember && isLate && now >= nextRound && leaseValidUntil > Duration.ZERO
}

/** State with a new round of requests for promises, and these requests. */
internal fun MembershipState.startRound(
    now: Duration,
    settings: MembershipSettings,
): Pair<MembershipState, List<MembershipAction.RequestPromise>> {
    val others = map.members.filter { it.vm != self }.toSet()
    val number = (round?.number ?: 0) + 1
    val next = copy(
        round = PromiseRound(number, now, map.epoch, own.incarnation, outstanding = others),
        nextRound = now + settings.renewEvery,
    )
    val requests = others.mapNotNull { member ->
        val address = observedLeases[member.vm]?.lease?.identity?.peerAddress ?: return@mapNotNull null
        val request = PromiseRequest(own.holder, member, map.epoch, settings.promiseInterval)
        MembershipAction.RequestPromise(member, address, request, number)
    }
    return next.withRoundResult(settings) to requests
}

/** State after [member] promised in round [number]. */
internal fun MembershipState.withPromiseOf(
    member: LeaseHolder,
    number: Long,
    settings: MembershipSettings,
): MembershipState {
    val current = round?.takeIf { it.number == number } ?: return this
    return copy(round = current.copy(outstanding = current.outstanding - member)).withRoundResult(settings)
}

private fun MembershipState.withRoundResult(settings: MembershipSettings): MembershipState {
    val current = round ?: return this
    val isCurrent = current.incarnation == own.incarnation && current.mapEpoch == map.epoch
    val isComplete = isCurrent && current.outstanding.isEmpty()
    val until = if (isComplete) current.requestedAt + settings.promiseInterval else promisedUntil
    return copy(promisedUntil = maxOf(promisedUntil, until))
}

/** Renewal intervals without success before promises are requested; one lost reply alone does not start a round. */
private const val FAILED_RENEWAL_INTERVALS = 1.5
