package io.jasmineford.core.objective

import io.jasmineford.core.program.ProgramId
import kotlinx.serialization.Serializable

/** Kind of a scheduling decision about a call. */
@Serializable
enum class DecisionStep { ARRIVED, FORWARDED, KEPT, QUEUED, PLACED, EXPIRED, RETRIED, ANSWERED }

/**
 * One decision about a call of a program.
 *
 * @property program id of the program.
 * @property at wall clock in Unix milliseconds, used only for display and for the order of a report.
 * @property sequence order of the decisions of one VM.
 * @property waitedMs time in milliseconds that the call waited before this decision; 0 if it did not wait.
 */
@Serializable
data class DecisionRecord(
    val program: String,
    val vm: String,
    val at: Long,
    val sequence: Long,
    val step: DecisionStep,
    val detail: String,
    val waitedMs: Long = 0,
)

/**
 * In-memory log of the latest decisions of each program. Memory is bounded: the least recently used program is evicted,
 * and only the latest [recordLimit] decisions of a program are kept. Thread-safe.
 *
 * @param wallClock time in Unix milliseconds.
 */
class DecisionLog(
    private val vm: String,
    private val wallClock: () -> Long,
    private val programLimit: Int = DEFAULT_PROGRAMS,
    private val recordLimit: Int = DEFAULT_RECORDS,
) {
    private val programs = LinkedHashMap<String, ArrayDeque<DecisionRecord>>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var sequence = 0L

    /** Records a decision; does nothing if [program] is null. */
    @Synchronized
    fun record(program: ProgramId?, step: DecisionStep, detail: String, waitedMs: Long = 0) {
        val name = program?.toString() ?: return
        val records = programs.getOrPut(name) { ArrayDeque() }
        records.addLast(DecisionRecord(name, vm, wallClock(), sequence++, step, detail, waitedMs))
        if (records.size > recordLimit) records.removeFirst()
        if (programs.size > programLimit) programs.remove(programs.keys.first())
    }

    /** Decisions about the programs whose full id or whose name within its account is [id], oldest first. */
    @Synchronized
    fun of(id: String): List<DecisionRecord> = programs
        .filterKeys { it == id || it.split('/', limit = ID_PARTS).last() == id }
        .values.flatten()

    private companion object {
        const val DEFAULT_PROGRAMS = 2_000
        const val DEFAULT_RECORDS = 64
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f

        /** Organisation, account and name; only the name may contain further slashes. */
        const val ID_PARTS = 3
    }
}

/** Merges decisions of several VMs, without duplicates, ordered by wall clock, then VM, then sequence. */
fun inOrder(records: List<DecisionRecord>): List<DecisionRecord> =
    records.distinct().sortedWith(compareBy({ it.at }, { it.vm }, { it.sequence }))
