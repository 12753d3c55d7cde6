package io.jasmineford.daemon.peer

import io.grpc.StatusException
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.PeerView
import io.jasmineford.protocol.Generation
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Message that states this view of [self]. */
internal fun PeerView.toMessage(self: FleetMember): Generation = Generation.newBuilder()
    .setVm(self.vm)
    .setZone(self.zone)
    .setPeerAddress(self.peerAddress)
    .setGeneration(generation)
    .setProofAgeMs(proofAge.toWholeMs())
    .addAllChunkKeys(listOf(index).filter { it.isNotEmpty() })
    .setSettled(isSettled)
    .setZoneAgeMs(zoneAge.toWholeMs())
    .setZoneDigest(zoneDigest)
    .build()

/** View that the sender states in this message. */
internal fun Generation.toView(): PeerView = PeerView(
    generation = generation,
    index = chunkKeysList.firstOrNull().orEmpty(),
    proofAge = proofAgeMs.takeIf { it >= 0 }?.milliseconds,
    isSettled = settled,
    zoneAge = zoneAgeMs.takeIf { it >= 0 }?.milliseconds,
    zoneDigest = zoneDigest,
)

/** Sender of this message. */
internal fun Generation.toMember(): FleetMember = FleetMember(vm, zone, peerAddress)

/**
 * Sends [view] of [self] to [peer] and returns its view; null when no reply comes in time or another VM uses the
 * address now.
 */
internal suspend fun PeerClients.exchange(self: FleetMember, peer: FleetMember, view: PeerView): PeerView? {
    if (peer.peerAddress.isEmpty()) return null
    return try {
        val reply = stub(peer.peerAddress)
            .withDeadlineAfter(EXCHANGE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .announceGeneration(view.toMessage(self))
        reply.takeIf { it.vm == peer.vm }?.toView()
    } catch (_: StatusException) {
        null
    }
}

/** Rounds up, so that the receiver never assumes a younger age; -1 for no age. */
private fun Duration?.toWholeMs(): Long = if (this == null) -1 else inWholeMilliseconds + 1

private const val EXCHANGE_TIMEOUT_MS = 500L
