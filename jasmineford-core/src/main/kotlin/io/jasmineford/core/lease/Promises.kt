package io.jasmineford.core.lease

import kotlin.time.Duration

/**
 * Whether this VM can promise what [request] asks for.
 *
 * A member that promised neither revokes the holder's rights nor adds members. So when all members of the newest map that
 * the holder knows have promised, nobody can take its shards before the first promise ends. The holder counts from
 * before it asked, and each member from its reply, so no clocks are compared.
 */
internal fun MembershipState.canPromise(request: PromiseRequest, now: Duration, settings: MembershipSettings): Boolean {
    val seen = sightings[request.holder.vm]?.lease
    val isHolderKnown = seen?.holder == request.holder && !seen.isRevoked && request.holder !in replaced
    val isMember = request.member == own.holder && own.holder in map.members && !isSuperseded
    // After a pause, another process of this VM may have started, and it doesn't know of new promises.
    val isAwake = pausedAt == null && now - lastPoll < settings.timeToLive
    val addsMembers = mapWrite?.let { !map.members.containsAll(it.action.map.members) } == true
    val isRevoking = revocation?.action?.lease?.identity?.vm == request.holder.vm
    val isBounded = request.interval <= settings.promiseInterval
    return isHolderKnown && isMember && isAwake && isBounded &&
        !addsMembers && !isRevoking && map.epoch <= request.mapEpoch
}

/** State in which [holder] may not be revoked until [until]. */
internal fun MembershipState.withPromise(holder: LeaseHolder, until: Duration, now: Duration): MembershipState =
    copy(promises = promises.filterValues { it > now } + (holder to until))

/** Whether the lease could not be renewed for so long that promises are needed. */
internal fun MembershipState.needsPromises(now: Duration, settings: MembershipSettings): Boolean {
    val isLate = leaseUntil - now <= settings.timeToLive - settings.renewEvery * RENEWALS_MISSED
    val isMember = own.holder in map.members && !isSuperseded
    return isMember && isLate && now >= nextRound && leaseUntil > Duration.ZERO
}

/** State with a new round, and the requests of the round. */
internal fun MembershipState.startRound(
    now: Duration,
    settings: MembershipSettings,
): Pair<MembershipState, List<MembershipAction.AskPromise>> {
    val others = map.members.filter { it.vm != self }.toSet()
    val number = (round?.number ?: 0) + 1
    val next = copy(
        round = PromiseRound(number, now, map.epoch, own.incarnation, missing = others),
        nextRound = now + settings.renewEvery,
    )
    val requests = others.mapNotNull { member ->
        val address = sightings[member.vm]?.lease?.identity?.peerAddress ?: return@mapNotNull null
        val request = PromiseRequest(own.holder, member, map.epoch, settings.promiseInterval)
        MembershipAction.AskPromise(member, address, request, number)
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
    return copy(round = current.copy(missing = current.missing - member)).withRoundResult(settings)
}

private fun MembershipState.withRoundResult(settings: MembershipSettings): MembershipState {
    val current = round ?: return this
    val isComplete = current.missing.isEmpty() && current.incarnation == own.incarnation && current.mapEpoch == map.epoch
    return if (isComplete) copy(promisedUntil = maxOf(promisedUntil, current.askedAt + settings.promiseInterval)) else this
}

/** Renewals that may fail before promises are asked for; one lost reply alone doesn't cost a round. */
private const val RENEWALS_MISSED = 1.5
