package io.jasmineford.core.lease

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks under seeded random faults that no shard ever has two active owners and that every shard has an owner again
 * after the faults. The faults are pauses, partitions from the store and from peers, lost and delayed replies, store
 * outages, restarts beside a paused old process, and planned shutdowns of VMs. `-Dschedules=N` sets the number of runs.
 */
class OwnershipScheduleTest {
    @Test
    fun `no schedule gives a shard two owners, and every shard has an owner again after the faults`() {
        val schedules = System.getProperty("schedules")?.toInt() ?: DEFAULT_SCHEDULES
        val broken = (1..schedules).mapNotNull { seed -> Schedule(seed).run()?.let { "seed $seed: $it" } }
        assertEquals(emptyList(), broken.take(SHOWN), "expected no violation in $schedules runs, actual ${broken.size}")
    }

    private class Schedule(seed: Int) {
        private val random = Random(seed)
        private val simulation: OwnershipSimulation =
            OwnershipSimulation(MembershipSettings(shards = 5)) { listenerOf(it) }
        private val pausedUntil = HashMap<Process, Duration>()
        private val cutUntil = HashMap<Int, Duration>()
        private val noRelayUntil = HashMap<Int, Duration>()
        private val isolatedUntil = HashMap<Int, Duration>()
        private var downUntil = Duration.ZERO
        private var areFaultsOver = false

        fun run(): String? {
            repeat(VMS) { simulation.start(it) }
            advanceTo(CONVERGENCE_TIME)
            simulation.listed = (0 until VMS).map { "vm-$it" }.toSet()
            while (simulation.time < CONVERGENCE_TIME + FAULT_TIME) {
                if (random.nextInt(FAULT_EVERY) == 0) fault()
                step()?.let { return it }
            }
            heal()
            return advanceTo(CONVERGENCE_TIME + FAULT_TIME + CONVERGENCE_TIME) ?: missingOwners()
        }

        private fun missingOwners(): String? = simulation.ownerless().takeIf { it.isNotEmpty() }?.let {
            "shards $it have no owner $CONVERGENCE_TIME after the last fault"
        }

        private fun advanceTo(end: Duration): String? {
            while (simulation.time < end) step()?.let { return it }
            return null
        }

        private fun step(): String? {
            simulation.advance(STEP)
            for (process in simulation.processes.shuffled(random)) {
                simulation.violation()?.let { return it }
                if (isPaused(process)) continue
                simulation.run(process) { delivery(process, it) }
            }
            return simulation.violation()
        }

        private fun isPaused(process: Process): Boolean = (pausedUntil[process] ?: Duration.ZERO) > simulation.time

        private fun delivery(process: Process, action: MembershipAction): Delivery {
            val peer = when (action) {
                is MembershipAction.RequestPromise -> action.peerAddress
                is MembershipAction.WriteLease -> action.relayAddress
                else -> null
            }
            val peerVm = peer?.removePrefix("peer-")?.toInt()
            val storeUser = peerVm ?: process.vm
            val isStoreUsed = action !is MembershipAction.RequestPromise
            val isStoreCut = downUntil > simulation.time || storeUser.isIn(cutUntil) || storeUser.isIn(isolatedUntil)
            val isCut = isStoreUsed && isStoreCut
            val isPeerCut = peerVm != null && (peerVm.isIn(isolatedUntil) || process.vm.isIn(isolatedUntil))
            val isRelayCut = isStoreUsed && peerVm != null && process.vm.isIn(noRelayUntil)
            return when {
                isCut || isPeerCut || isRelayCut -> Delivery.NOT_SENT
                areFaultsOver -> Delivery.REPLIED
                else -> DELIVERIES.random(random)
            }
        }

        /** Process that answers peer calls to [vm]; any running one if the VM has several. */
        private fun listenerOf(vm: Int): Process? =
            simulation.processes.filter { it.vm == vm && !isPaused(it) }.randomOrNull(random)

        private fun Int.isIn(until: Map<Int, Duration>) = (until[this] ?: Duration.ZERO) > simulation.time

        private fun fault() {
            val until = simulation.time + random.nextInt(MAX_FAULT_MS).milliseconds
            val process = simulation.processes.random(random)
            when (random.nextInt(FAULTS)) {
                0, 1, 2 -> pausedUntil[process] = until
                3 -> cutUntil[process.vm] = until

                // The VM is cut off from the store and from relays, so only promises of its peers can extend its lease.
                9, 10 -> {
                    cutUntil[process.vm] = until + EXTRA_CUT_TIME
                    noRelayUntil[process.vm] = until + EXTRA_CUT_TIME
                }

                4 -> isolatedUntil[process.vm] = until
                5 -> downUntil = until
                6, 7 -> restart(process.vm, until)
                8 -> if (random.nextInt(LEAVE_EVERY) == 0) process.membership.setLeaving(true)
            }
        }

        /** Starts a new process of [vm]. The old ones stay paused until [until] and then run beside the new one. */
        private fun restart(vm: Int, until: Duration) {
            simulation.processes.filter { it.vm == vm }.forEach { pausedUntil[it] = until }
            simulation.start(vm)
        }

        /**
         * Ends all faults. Only the newest process of each VM continues; VMs that are leaving and some others restart.
         */
        private fun heal() {
            areFaultsOver = true
            downUntil = Duration.ZERO
            pausedUntil.clear()
            cutUntil.clear()
            noRelayUntil.clear()
            isolatedUntil.clear()
            val newest = (0 until VMS).map { vm -> simulation.processes.last { it.vm == vm } }
            simulation.processes.forEach { pausedUntil[it] = if (it in newest) Duration.ZERO else Duration.INFINITE }
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
        val EXTRA_CUT_TIME = 8.seconds
        val CONVERGENCE_TIME = MembershipSettings().convergenceTime
        val DELIVERIES =
            List(12) { Delivery.REPLIED } + Delivery.REPLY_LOST + Delivery.REPLY_DELAYED + Delivery.NOT_SENT
    }
}
