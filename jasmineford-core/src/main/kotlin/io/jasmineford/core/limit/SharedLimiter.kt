package io.jasmineford.core.limit

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/** A message from [SharedLimiter] to another VM. */
sealed interface LimitMessage {
    /** Recipient of the message. */
    val vm: String

    /** Request for a slice of bucket [name]; the reply goes to [SharedLimiter.onGrant]. */
    data class Borrow(override val vm: String, val name: String, val request: SliceMessage.Borrow) : LimitMessage

    /** Return of a slice of bucket [name]. */
    data class Return(override val vm: String, val name: String, val slice: SliceMessage.Return) : LimitMessage

    /** Bucket state of a shard that this VM handed over to [vm]. */
    data class HandOver(override val vm: String, val state: ShardLevels) : LimitMessage
}

/** Admits requests against slices of the accounts' token buckets, which this VM borrows from the bucket owners. */
class SharedLimiter(
    private val self: String,
    private val ownership: QuantityOwnership,
    private val owner: BucketOwner,
    private val clock: MonotonicClock,
    private val settings: SliceSettings,
) : AccountLimiter {
    private val borrowers = HashMap<String, SliceBorrower>()
    private val lastOwners = HashMap<String, String>()

    override fun admit(account: ScopedName, rate: AccountRate): Admission {
        val name = account.toString()
        val borrower = borrowers.getOrPut(name) { SliceBorrower(settings) }
        val now = clock.now()
        if (borrower.tryTake(now) != null) return Admission.Admitted
        if (isOwnedHere(name)) {
            serveLocally(name, borrower)
            if (borrower.tryTake(now) != null) return Admission.Admitted
        }
        return Admission.Wait(settings.minRetryDelay)
    }

    /** Returns the messages that are due. */
    fun poll(): List<LimitMessage> {
        val now = clock.now()
        val handOvers = owner.poll().mapNotNull { state ->
            ownership.owner(state.shard)?.let { LimitMessage.HandOver(it.first.vm, state) }
        }
        borrowers.values.removeAll { it.isIdle(now) }
        val remote = borrowers.flatMap { (name, borrower) ->
            if (isOwnedHere(name)) {
                serveLocally(name, borrower)
                emptyList()
            } else {
                messages(name, borrower, now)
            }
        }
        return handOvers + remote
    }

    /** Handles the reply to [message]; [grant] is null when the recipient did not answer or is not the owner. */
    fun onGrant(message: LimitMessage.Borrow, grant: SliceGrant?) {
        borrowers[message.name]?.onGrant(clock.now(), message.request, grant)
    }

    private fun messages(name: String, borrower: SliceBorrower, now: Duration): List<LimitMessage> {
        val vm = ownership.owner(ownership.shard(name))?.first?.vm ?: return emptyList()
        if (lastOwners.put(name, vm) != vm) borrower.ownerChanged()
        return borrower.poll(now).map {
            when (it) {
                is SliceMessage.Borrow -> LimitMessage.Borrow(vm, name, it)
                is SliceMessage.Return -> LimitMessage.Return(vm, name, it)
            }
        }
    }

    private fun serveLocally(name: String, borrower: SliceBorrower) {
        for (message in borrower.poll(clock.now())) {
            when (message) {
                is SliceMessage.Borrow -> borrower.onGrant(clock.now(), message, owner.borrow(name, self, message.units))
                is SliceMessage.Return -> owner.returnSlice(name, message.id, message.unused)
            }
        }
    }

    private fun isOwnedHere(name: String): Boolean = ownership.owner(ownership.shard(name))?.first?.vm == self
}
