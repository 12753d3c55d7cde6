package io.jasmineford.core.schedule

import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.parent

/**
 * Attained service of each program along its critical path: a sub-agent starts from its parent's service, and the
 * parent's service rises to the largest of its sub-agents (Autellix, Luo et al., 2025). Holds the [limit] programs that
 * were added last.
 */
internal class AttainedService(private val limit: Int = PROGRAM_LIMIT) {
    private val service = object : LinkedHashMap<ProgramId, Double>() {
        override fun removeEldestEntry(eldest: Map.Entry<ProgramId, Double>?) = size > limit
    }

    /** Service attained by [program] in cost tokens, see [TokenCost]; zero for a call outside any program. */
    fun of(program: ProgramId?): Double {
        if (program == null) return 0.0
        return service[program] ?: program.parent?.let { service[it] } ?: 0.0
    }

    /** Adds the [cost] of one call of [program]. */
    fun add(program: ProgramId, cost: Double) {
        val attained = of(program) + cost
        service[program] = attained
        val parent = program.parent ?: return
        if (attained > of(parent)) service[parent] = attained
    }

    /** Removes a program that ended. */
    fun remove(program: ProgramId) {
        service.remove(program)
    }

    private companion object {
        const val PROGRAM_LIMIT = 200_000
    }
}
