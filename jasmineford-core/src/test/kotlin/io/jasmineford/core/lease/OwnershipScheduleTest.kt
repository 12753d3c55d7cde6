package io.jasmineford.core.lease

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two owners that both act, and against shards that stay without an owner, under seeded random faults:
 * pauses, partitions from the store and from peers, lost and late replies, outages, restarts beside a paused old process, and VMs that
 * leave by plan. `-Dschedules=N` runs more schedules.
 */
class OwnershipScheduleTest {
    @Test
    fun `no schedule has two owners, and every shard has one again after the faults`() {
        val schedules = System.getProperty("schedules")?.toInt() ?: DEFAULT_SCHEDULES
        val broken = (1..schedules).mapNotNull { seed -> Schedule(seed).run()?.let { "seed $seed: $it" } }
        assertEquals(emptyList(), broken.take(SHOWN), "expected no fault in $schedules schedules, actual ${broken.size}")
    }

    private class Schedule(seed: Int) {
        private val random = Random(seed)
        private val world: OwnershipWorld = OwnershipWorld(MembershipSettings(shards = 5)) { listenerOf(it) }
        private val pausedUntil = HashMap<Process, Duration>()
        private val cutUntil = HashMap<Int, Duration>()
        private val noRelayUntil = HashMap<Int, Duration>()
        private val isolatedUntil = HashMap<Int, Duration>()
        private var downUntil = Duration.ZERO
        private var isCalm = false

        fun run(): String? {
            repeat(VMS) { world.start(it) }
            advanceTo(SETTLE)
            world.listed = (0 until VMS).map { "vm-$it" }.toSet()
            while (world.time < SETTLE + FAULT_TIME) {
                if (random.nextInt(FAULT_EVERY) == 0) fault()
                step()?.let { return it }
            }
            heal()
            return advanceTo(SETTLE + FAULT_TIME + SETTLE) ?: world.ownerless().takeIf { it.isNotEmpty() }?.let {
                "shards $it have no owner $SETTLE after the last fault"
            }
        }

        private fun advanceTo(end: Duration): String? {
            while (world.time < end) step()?.let { return it }
            return null
        }

        private fun step(): String? {
            world.advance(STEP)
            for (process in world.processes.shuffled(random)) {
                world.violation()?.let { return it }
                if (isPaused(process)) continue
                world.run(process) { delivery(process, it) }
            }
            return world.violation()
        }

        private fun isPaused(process: Process): Boolean = (pausedUntil[process] ?: Duration.ZERO) > world.time

        private fun delivery(process: Process, action: MembershipAction): Delivery {
            val peer = when (action) {
                is MembershipAction.AskPromise -> action.peerAddress
                is MembershipAction.WriteLease -> action.through
                else -> null
            }
            val peerVm = peer?.removePrefix("peer-")?.toInt()
            val storeUser = peerVm ?: process.vm
            val isStoreUsed = action !is MembershipAction.AskPromise
            val isCut = isStoreUsed && (downUntil > world.time || storeUser.isIn(cutUntil) || storeUser.isIn(isolatedUntil))
            val isPeerCut = peerVm != null && (peerVm.isIn(isolatedUntil) || process.vm.isIn(isolatedUntil))
            val isRelayCut = isStoreUsed && peerVm != null && process.vm.isIn(noRelayUntil)
            return when {
                isCut || isPeerCut || isRelayCut -> Delivery.NOT_SENT
                isCalm -> Delivery.REPLIED
                else -> DELIVERIES.random(random)
            }
        }

        /** Of a VM with two processes, either may answer. */
        private fun listenerOf(vm: Int): Process? =
            world.processes.filter { it.vm == vm && !isPaused(it) }.randomOrNull(random)

        private fun Int.isIn(until: Map<Int, Duration>) = (until[this] ?: Duration.ZERO) > world.time

        private fun fault() {
            val until = world.time + random.nextInt(MAX_FAULT_MS).milliseconds
            val process = world.processes.random(random)
            when (random.nextInt(FAULTS)) {
                0, 1, 2 -> pausedUntil[process] = until
                3 -> cutUntil[process.vm] = until

                // Only promises can keep this VM going, while its peers reach the store.
                9, 10 -> {
                    cutUntil[process.vm] = until + LONGER
                    noRelayUntil[process.vm] = until + LONGER
                }

                4 -> isolatedUntil[process.vm] = until
                5 -> downUntil = until
                6, 7 -> restart(process.vm, until)
                8 -> if (random.nextInt(LEAVE_EVERY) == 0) process.membership.setLeaving(true)
            }
        }

        /** The old processes stay paused for a while, and then go on beside the new one. */
        private fun restart(vm: Int, until: Duration) {
            world.processes.filter { it.vm == vm }.forEach { pausedUntil[it] = until }
            world.start(vm)
        }

        /** Ends all faults. Of each VM, only the newest process lives; VMs that left start again. */
        private fun heal() {
            isCalm = true
            downUntil = Duration.ZERO
            pausedUntil.clear()
            cutUntil.clear()
            noRelayUntil.clear()
            isolatedUntil.clear()
            val newest = (0 until VMS).map { vm -> world.processes.last { it.vm == vm } }
            world.processes.forEach { pausedUntil[it] = if (it in newest) Duration.ZERO else Duration.INFINITE }
            newest.filter { it.membership.state.own.isLeaving || random.nextBoolean() }
                .forEach { restart(it.vm, until = Duration.INFINITE) }
        }
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 1_000
        const val SHOWN = 3
        const val VMS = 3
        const val FAULT_EVERY = 8
        const val FAULTS = 11
        const val LEAVE_EVERY = 4
        const val MAX_FAULT_MS = 12_000
        val STEP = 250.milliseconds
        val FAULT_TIME = 40.seconds
        val LONGER = 8.seconds
        val SETTLE = MembershipSettings().settleTime
        val DELIVERIES = List(12) { Delivery.REPLIED } + Delivery.REPLY_LOST + Delivery.REPLY_LATE + Delivery.NOT_SENT
    }
}
