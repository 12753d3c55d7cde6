package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Random schedules of crashes, lost disks, cut connections and group changes over the decisions of the product. Guards
 * against acknowledged entries that a majority of complete voters lacks, and against voters that stay incomplete.
 */
class HistoryGroupModelTest {
    private val schedules = Integer.getInteger("historySchedules", SCHEDULES)

    @Test
    fun `acknowledged entries are held by each majority of complete voters`() =
        repeat(schedules) { seed -> Fleet(seed).play() }

    @Test
    fun `acknowledged entries survive the loss of two disks of five`() =
        repeat(schedules) { seed -> Fleet(seed, toleratedDiskLosses = 2).play() }

    @Test
    fun `acknowledged entries survive retirements`() =
        repeat(schedules) { seed -> Fleet(seed, hasRetirements = true).play() }

    private class Daemon(val member: Member) {
        var entries: Set<Int> = emptySet()
        var status = HistoryStatus(epoch = 0, isComplete = false)
        var syncedStatus = status
        var isUp = true
        var isGone = false
        val sources = HashMap<String, HistoryStatus>()
        var sourcesEpoch = -1L

        fun sync() {
            syncedStatus = status
        }

        fun crash() {
            isUp = false
            status = syncedStatus
            sources.clear()
        }

        fun loseDisk() {
            entries = emptySet()
            status = HistoryStatus(epoch = 0, isComplete = false)
            sync()
        }
    }

    private class Fleet(
        private val seed: Int,
        private val toleratedDiskLosses: Int = 1,
        private val hasRetirements: Boolean = false,
    ) {
        private val random = Random(seed)
        private val daemons = LinkedHashMap<String, Daemon>()
        private val groups = ArrayList<HistoryGroup>()
        private val saidComplete = HashSet<String>()
        private val acknowledged = HashSet<Int>()
        private val groupSize = 2 * toleratedDiskLosses + 1
        private val retiring = HashSet<String>()
        private val steps = ArrayList<String>()
        private var diskLosses = 0
        private val group get() = groups.last()

        init {
            repeat(groupSize) { add().apply { status = status.copied() }.sync() }
            saidComplete.addAll(daemons.keys)
            groups.add(HistoryGroup(epoch = 1, voters = daemons.keys.toList()))
        }

        fun play() {
            repeat(STEPS) {
                step()
                check()
            }
            daemons.values.filter { !it.isGone }.forEach { it.isUp = true }
            // Operators replace machines that are gone.
            while (daemons.values.count { !it.isGone && it.member.name !in retiring } < groupSize) add()
            repeat(SETTLING_ROUNDS) {
                daemons.values.forEach { daemon ->
                    tick(daemon, isReached = { true })
                    daemon.sync()
                }
            }
            check()
            assertTrue(group.voters.count { isComplete(it) } >= group.majority, "suspended for ever: ${report()}")
        }

        private fun step() {
            val daemon = daemons.values.filter { !it.isGone }.random(random)
            val cutOff = daemons.keys.filter { random.nextInt(CUT_ONE_IN) == 0 }.toSet()
            when (random.nextInt(if (hasRetirements) 15 else 14)) {
                in 0..3 -> write(cutOff)
                in 4..7 -> daemons.values.shuffled(random).forEach { tick(it) { name -> name !in cutOff } }
                in 8..9 -> daemon.sync()
                10 -> crash(daemon)
                11 -> daemon.isUp = true
                12 -> loseDisk(daemon)
                13 -> addSpare()
                14 -> beginRetirement(daemon)
            }
        }

        private fun crash(daemon: Daemon) {
            if (!daemon.isUp) return
            daemon.crash()
            steps += "crash ${daemon.member.name}"
        }

        private fun addSpare() {
            if (daemons.size < groupSize + SPARES) steps += "add ${add().member.name}"
        }

        private fun beginRetirement(daemon: Daemon) {
            if (retiring.isEmpty() && retiring.add(daemon.member.name)) steps += "retire ${daemon.member.name}"
        }

        private fun add(): Daemon {
            val name = "h${daemons.size}"
            val member = Member(name, 1, "z${daemons.size % 3}", "r", isEntry = false, ip = "", peerPort = 1)
            return Daemon(member).also { daemons[name] = it }
        }

        /** Loses the disk of a voter, with the machine or without, while the deployment tolerates it. */
        private fun loseDisk(daemon: Daemon) {
            if (daemon.member.name !in group.voters) return
            if (group.voters.all { isComplete(it) }) diskLosses = 0
            if (diskLosses >= toleratedDiskLosses) return
            diskLosses++
            daemon.crash()
            daemon.loseDisk()
            daemon.isGone = random.nextInt(3) == 0
            steps += "lose ${daemon.member.name} for good=${daemon.isGone}"
        }

        /** Writes an entry for the group in force, or for the one before, as clients with an old view do. */
        private fun write(cutOff: Set<String>) {
            val view = groups[(groups.size - 1 - random.nextInt(2)).coerceAtLeast(0)]
            val id = random.nextInt()
            val holders = view.voters.map(daemons::getValue)
                .filter { it.isUp && it.member.name !in cutOff }
                .filter { it.status.knowsGroup && it.status.epoch <= view.epoch }
            holders.forEach {
                if (it.status.epoch < view.epoch) it.status = it.status.inGroup(view.stampFor(it.member.name))
                it.entries += id
                it.sync()
            }
            if (holders.size >= view.majority) {
                acknowledged += id
                steps += "write $id to ${holders.map { it.member.name }} in ${view.epoch}"
            }
        }

        private fun tick(daemon: Daemon, isReached: (String) -> Boolean) {
            val name = daemon.member.name
            if (!daemon.isUp || daemon.isGone || !isReached(name)) return
            if (group.epoch >= daemon.status.epoch) daemon.status = daemon.status.inGroup(group.stampFor(name))
            if (daemon.sourcesEpoch != group.epoch) daemon.sources.clear()
            daemon.sourcesEpoch = group.epoch
            val heard = daemons.values.filter { it.isUp && !it.isGone && isReached(it.member.name) }
            heard.forEach { saidComplete -= it.member.name }
            heard.filter { it.status.isComplete }.forEach { saidComplete += it.member.name }
            if (name in group.voters) copyAsVoter(daemon, heard)
            if (name !in group.voters || daemon.status.isComplete) propose(daemon, heard)
            if (name in retiring) retire(daemon, heard)
        }

        /** Removes the machine of [daemon] once all voters are complete and hold its entries. */
        private fun retire(daemon: Daemon, heard: List<Daemon>) {
            val isCopied = group.voters.map(daemons::getValue).all {
                it in heard && it.status.isComplete && isNoted(it, daemon) && it.entries.containsAll(daemon.entries)
            }
            if (daemon.member.name in group.voters || !isCopied) return
            daemon.isGone = true
            daemon.isUp = false
            retiring.clear()
            steps += "${daemon.member.name} is retired"
        }

        private fun copyAsVoter(daemon: Daemon, heard: List<Daemon>) {
            copy(daemon, heard.filter { it.member.name in retiring })
            if (!daemon.status.isComplete) fill(daemon, heard)
            completeCopy(daemon)
        }

        private fun isNoted(voter: Daemon, source: Daemon) =
            voter.sourcesEpoch == group.epoch && source.member.name in voter.sources

        private fun fill(daemon: Daemon, heard: List<Daemon>) {
            val names = group.voters + group.earlier.flatMap { it.keys }
            copy(daemon, heard.filter { it.member.name in names })
        }

        private fun copy(daemon: Daemon, sources: List<Daemon>) {
            sources.filter { it !== daemon && it.status.knowsGroup }.forEach { source ->
                val stamp = group.stampFor(source.member.name)
                if (stamp.epoch > source.status.epoch) source.status = source.status.inGroup(stamp)
                source.sync()
                daemon.entries += source.entries
                daemon.sources[source.member.name] = source.status
            }
        }

        private fun completeCopy(daemon: Daemon) {
            val name = daemon.member.name
            val mayHoldMore = daemon.status.copiedAt < group.epoch
            if (mayHoldMore && group.isCopyComplete(name, daemon.status, daemon.sources)) {
                daemon.status = daemon.status.copied()
                daemon.sync()
                steps += "$name is complete in ${group.epoch} with ${daemon.sources.keys}"
            }
        }

        private fun propose(daemon: Daemon, heard: List<Daemon>) {
            if (daemon.status != daemon.syncedStatus) return
            val heardNames = heard.map { it.member.name }.toSet()
            val observation = GroupObservation(
                self = daemon.member,
                members = daemons.values.filter { !it.isGone || random.nextBoolean() }.map { it.member },
                unresponsive = daemons.keys - heardNames,
                retiring = retiring.toSet(),
                toleratedDiskLosses = toleratedDiskLosses,
                complete = saidComplete.toSet(),
                heard = heardNames,
            )
            val next = nextGroup(group, observation) ?: return
            groups += next
            steps += "${daemon.member.name} proposes $next"
        }

        private fun isComplete(name: String): Boolean {
            val daemon = daemons.getValue(name)
            return !daemon.isGone && daemon.status.inGroup(group.stampFor(name)).isComplete &&
                daemon.syncedStatus.inGroup(group.stampFor(name)).isComplete
        }

        /** Any majority of complete voters, those included that are down for now, holds all acknowledged entries. */
        private fun check() {
            val complete = group.voters.filter { isComplete(it) }.map(daemons::getValue)
            majorities(complete).forEach { majority ->
                val missing = acknowledged.filter { id -> majority.none { id in it.entries } }
                val names = majority.map { it.member.name }
                assertTrue(missing.isEmpty(), "$names of epoch ${group.epoch} lack $missing: ${report()}")
            }
        }

        private fun majorities(complete: List<Daemon>): List<List<Daemon>> = when {
            complete.size < group.majority -> emptyList()
            complete.size == group.majority -> listOf(complete)
            else -> complete.flatMap { majorities(complete - it) }
        }

        private fun report() = "seed $seed\n${steps.joinToString("\n")}"
    }

    private companion object {
        const val SCHEDULES = 2000
        const val STEPS = 60
        const val SETTLING_ROUNDS = 12
        const val SPARES = 3
        const val CUT_ONE_IN = 5
    }
}
