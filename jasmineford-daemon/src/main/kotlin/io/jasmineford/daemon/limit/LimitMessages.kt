package io.jasmineford.daemon.limit

import io.jasmineford.core.limit.BucketLevel
import io.jasmineford.core.limit.LimitMessage
import io.jasmineford.core.limit.ShardLevels
import io.jasmineford.core.limit.Slice
import io.jasmineford.core.limit.SliceGrant
import io.jasmineford.protocol.BorrowReply
import io.jasmineford.protocol.BorrowRequest
import io.jasmineford.protocol.QuantityHandOver
import io.jasmineford.protocol.QuantityLevel
import io.jasmineford.protocol.ReturnRequest
import kotlin.time.Duration.Companion.milliseconds

/** Value of the message field `kind` for the token bucket of an account. */
private const val BUCKET = "bucket"

internal fun LimitMessage.Borrow.toRequest(from: String): BorrowRequest = BorrowRequest.newBuilder()
    .setKind(BUCKET)
    .setName(name)
    .setBorrower(from)
    .setAmount(request.units)
    .setDemand(request.demandPerSecond)
    .build()

internal fun LimitMessage.Return.toRequest(from: String): ReturnRequest = ReturnRequest.newBuilder()
    .setKind(BUCKET)
    .setName(name)
    .setBorrower(from)
    .setSliceId(slice.id)
    .setAmount(slice.unused)
    .build()

internal fun LimitMessage.HandOver.toRequest(from: String): QuantityHandOver = QuantityHandOver.newBuilder()
    .setShard(state.shard)
    .setEpoch(state.epoch)
    .setFromVm(from)
    .addAllLevels(state.levels.map { it.toMessage() })
    .setIsRestFull(state.isUnlistedFull)
    .build()

internal fun QuantityHandOver.toState(): ShardLevels = ShardLevels(
    shard = shard,
    epoch = epoch,
    levels = levelsList.filter { it.kind == BUCKET }.map { BucketLevel(it.name, it.level, it.lent) },
    isUnlistedFull = isRestFull,
)

/** The validity is rounded down, so that the borrower stops using the slice before the owner reclaims it. */
internal fun SliceGrant.toMessage(): BorrowReply = BorrowReply.newBuilder()
    .setGranted(slice?.units ?: 0.0)
    .setSliceId(slice?.id ?: 0)
    .setValidMs(slice?.validity?.inWholeMilliseconds ?: 0)
    .setRetryAfterMs(retryAfter.inWholeMilliseconds)
    .build()

/** The grant in this reply; null when the sender does not own the bucket. */
internal fun BorrowReply.toGrant(): SliceGrant? {
    if (notOwner) return null
    val slice = if (granted >= 1.0) Slice(sliceId, granted, validMs.milliseconds) else null
    return SliceGrant(slice, retryAfterMs.milliseconds)
}

private fun BucketLevel.toMessage(): QuantityLevel =
    QuantityLevel.newBuilder().setKind(BUCKET).setName(name).setLevel(level).setLent(lent).build()
