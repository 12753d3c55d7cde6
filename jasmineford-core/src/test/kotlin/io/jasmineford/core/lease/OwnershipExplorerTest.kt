package io.jasmineford.core.lease

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Model checker for the ownership protocol: explores the state space of 3 VMs and checks that no shard ever has two
 * active owners.
 *
 * Starting from a converged state, each round lasts one second, in which every process runs once. At most one fault
 * begins or ends before a round. The first test tries every order of the processes in each round with one fault, the
 * second every sequence of faults in one fixed order. States reached before are not explored again.
 * `-Drounds=N -Dfaults=N` set the depth.
 */
class OwnershipExplorerTest {
    @Test
    fun `no interleaving of three VMs with one fault gives a shard two owners`() =
        explore(rounds = property("rounds") ?: 7, faults = 1, orders = ::permutations)

    @Test
    fun `no sequence of faults on three VMs gives a shard two owners`() =
        explore(rounds = property("rounds") ?: 11, faults = property("faults") ?: 2, orders = { listOf(it) })

    private fun explore(rounds: Int, faults: Int, orders: (List<Int>) -> List<List<Int>>) {
        var frontier = listOf(Node(converged(), faults, orders))
        var explored = 0
        repeat(rounds) {
            val seen = HashSet<Any>()
            // Evaluated lazily, so that only new states are kept in memory.
            frontier = frontier.asSequence().flatMap { it.successors() }.filter { seen.add(it.fingerprint()) }.toList()
            explored += frontier.size
            val broken = frontier.firstNotNullOfOrNull { node ->
                node.simulation.violation()?.let { "${node.history}: $it" }
            }
            assertEquals(null, broken, "expected at most one active owner per shard in $explored states")
        }
        println("explored $explored states in $rounds rounds with up to $faults faults")
    }

    private fun property(name: String): Int? = System.getProperty(name)?.toInt()

    private enum class Mode { UP, PAUSED, NO_STORE, NO_RELAY, ISOLATED }

    private class Node(
        val simulation: OwnershipSimulation,
        val faultsLeft: Int,
        val orders: (List<Int>) -> List<List<Int>>,
        val modes: Map<Int, Mode> = emptyMap(),
        val isStoreDown: Boolean = false,
        val disturbed: Pair<Int, Delivery>? = null,
        val history: List<String> = emptyList(),
    ) {
        fun fingerprint(): Any = listOf(simulation.fingerprint(), faultsLeft, modes, isStoreDown)

        fun successors(): Sequence<Node> {
            val changed = if (faultsLeft > 0) changes() else emptyList()
            return (changed + with("-", cost = 0)).asSequence().flatMap { it.rounds() }
        }

        private fun changes(): List<Node> = buildList {
            add(with("store ${if (isStoreDown) "up" else "down"}", isStoreDown = !isStoreDown))
            for (process in simulation.processes.map { it.number }) {
                val mode = modes[process] ?: Mode.UP
                (Mode.entries - mode).forEach { add(with("$process $it", modes = modes + (process to it))) }
                if (mode == Mode.UP) {
                    DISTURBANCES.forEach { add(with("$process $it", disturbed = process to it)) }
                }
            }
            if (simulation.processes.size == VMS) (0 until VMS).forEach { add(restarted(it)) }
        }

        /** Starts a new process of [vm]. The old one is paused and may be resumed by a later fault. */
        private fun restarted(vm: Int): Node {
            val next = simulation.fork()
            val old = next.processes.first { it.vm == vm }.number
            next.start(vm)
            return Node(next, faultsLeft - 1, orders, modes + (old to Mode.PAUSED), isStoreDown, null, history + "restart vm-$vm")
        }

        private fun with(
            change: String,
            cost: Int = 1,
            modes: Map<Int, Mode> = this.modes,
            isStoreDown: Boolean = this.isStoreDown,
            disturbed: Pair<Int, Delivery>? = null,
        ) = Node(simulation, faultsLeft - cost, orders, modes, isStoreDown, disturbed, history + change)

        private fun rounds(): Sequence<Node> {
            val running = simulation.processes.map { it.number }.filter { modes[it] != Mode.PAUSED }
            return orders(running).asSequence().map { order ->
                val next = simulation.fork()
                next.advance(1.seconds)
                val broken = order.any { number ->
                    next.run(next.processes[number - 1]) { delivery(number, it) }
                    next.violation() != null
                }
                val text = if (broken) listOf("order $order") else emptyList()
                Node(next, faultsLeft, orders, modes, isStoreDown, disturbed = null, history + text)
            }
        }

        private fun delivery(process: Int, action: MembershipAction): Delivery {
            val peer = when (action) {
                is MembershipAction.RequestPromise -> action.peerAddress
                is MembershipAction.WriteLease -> action.relayAddress
                else -> null
            }
            val other = peer?.let { address -> simulation.processes.last { "peer-${it.vm}" == address }.number }
            val isPeerReached = other == null || listOf(process, other).none { modes[it] in UNREACHABLE }
            val usesStore = action !is MembershipAction.RequestPromise
            val isRelayCut = other != null && modes[process] == Mode.NO_RELAY
            val isStoreReached = !usesStore || (!isStoreDown && !isRelayCut && modes[other ?: process] !in WITHOUT_STORE)
            return when {
                !isPeerReached || !isStoreReached -> Delivery.NOT_SENT
                disturbed?.first == process -> disturbed.second
                else -> Delivery.REPLIED
            }
        }
    }

    private companion object {
        const val VMS = 3
        val DISTURBANCES = listOf(Delivery.REPLY_LOST, Delivery.REPLY_DELAYED)
        val UNREACHABLE = setOf(Mode.PAUSED, Mode.ISOLATED)
        val WITHOUT_STORE = setOf(Mode.NO_STORE, Mode.NO_RELAY, Mode.ISOLATED)
        val SETTINGS = MembershipSettings(
            timeToLive = 3.seconds,
            renewEvery = 1.seconds,
            margin = 1.seconds,
            listEvery = 1.seconds,
            shards = 3,
        )

        fun converged(): OwnershipSimulation {
            val simulation = OwnershipSimulation(SETTINGS)
            repeat(VMS) { simulation.start(it) }
            while (simulation.time < SETTINGS.convergenceTime) {
                simulation.advance(1.seconds)
                simulation.processes.forEach { process -> simulation.run(process) { Delivery.REPLIED } }
            }
            assertEquals(emptyList(), simulation.ownerless(), "expected an owner for every shard in the initial state")
            return simulation
        }

        fun permutations(items: List<Int>): List<List<Int>> =
            if (items.isEmpty()) listOf(emptyList()) else items.flatMap { first -> permutations(items - first).map { listOf(first) + it } }
    }
}
