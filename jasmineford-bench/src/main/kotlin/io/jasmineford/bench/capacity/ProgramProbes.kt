package io.jasmineford.bench.capacity

import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.ProgramRegistry
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.Usage
import io.jasmineford.core.time.VirtualClock
import kotlin.time.Duration.Companion.microseconds

private fun registryOf(programs: Int, turns: Int): ProgramRegistry {
    val registry = ProgramRegistry(VirtualClock())
    repeat(programs) { program -> repeat(turns) { turn -> commit(registry, program, turn) } }
    return registry
}

private fun commit(registry: ProgramRegistry, program: Int, turn: Int) {
    val id = ProgramId(ScopedName("organisation", "account"), "program-$program")
    val budget = ProgramBudget(tokens = Long.MAX_VALUE / 2)
    val decision = registry.begin(TurnRequest(id, turn + 1, requestDigest = "r$turn", budget = budget))
    check(decision is TurnDecision.Run) { "expected the turn to run, actual $decision" }
    // Each text is a separate object, as when it is received from the network.
    val text = StringBuilder().append(program).append(' ').append(turn).append(" ".repeat(TURN_CHARS)).toString()
    registry.commit(decision.ticket, listOf(Message("assistant", text)), Usage(1_000, 300, 900))
}

private fun heapOf(programs: Int, turns: Int): Double = heapMegabytes { registryOf(programs, turns) }

/** Heap of program histories by programs and by turns, and CPU time of one turn by the number of earlier turns. */
internal fun programProbes(): List<CapacityProbe> = listOf(
    CapacityProbe("keeper-heap", "MB a daemon", "program", listOf(100, 300, 923), DESIGN_PROGRAMS) { heapOf(it, turns = 20) },
    CapacityProbe("keeper-heap-100-programs", "MB", "turn", listOf(10, 40, 160, 340), DESIGN_TURNS) { heapOf(100, it) },
    CapacityProbe("keeper-turn-cpu", "us a turn", "turn", listOf(10, 40, 160, 340), DESIGN_TURNS) { turns ->
        val registry = registryOf(CPU_PROGRAMS, turns)
        cpuTime { repeat(CPU_PROGRAMS) { commit(registry, it, turns) } } / 1.microseconds / CPU_PROGRAMS
    },
)

/** 360,000 programs over 390 daemons. */
private const val DESIGN_PROGRAMS = 923
private const val DESIGN_TURNS = 340
private const val TURN_CHARS = 3_000
private const val CPU_PROGRAMS = 100
