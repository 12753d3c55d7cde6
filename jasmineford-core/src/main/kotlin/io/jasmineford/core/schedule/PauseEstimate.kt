package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a program waits for after an answer. */
enum class PauseKind {
    /** A tool call that the answer asked for. */
    TOOL,

    /** The program's user. */
    USER,
}

/**
 * Expected time between a program's answer and its next call. Pauses for tools and for users differ by an order of
 * magnitude, so they are learned apart, for each account.
 */
internal class PauseEstimate {
    private val paused = LinkedHashMap<ProgramId, Pause>()
    private val means = HashMap<Pair<ScopedName, PauseKind>, Duration>()

    /** Programs with no call in flight, the longest paused first. */
    val programs: Set<ProgramId> get() = paused.keys

    fun answered(program: ProgramId, kind: PauseKind, now: Duration) {
        paused.remove(program)
        paused[program] = Pause(kind, now)
    }

    fun called(program: ProgramId, now: Duration) {
        val pause = paused.remove(program) ?: return
        val key = program.account to pause.kind
        val mean = means[key] ?: (now - pause.since)
        means[key] = mean + (now - pause.since - mean) * LEARNING_RATE
    }

    fun remove(program: ProgramId) {
        paused.remove(program)
    }

    /**
     * Expected rest of the pause of [program]; negative when it is late. Infinite when it has paused more than
     * [abandonedAfter] times as long as usual.
     */
    fun restOf(program: ProgramId, now: Duration, abandonedAfter: Double): Duration {
        val pause = paused.getValue(program)
        val expected = means[program.account to pause.kind] ?: INITIAL_PAUSE
        val elapsed = now - pause.since
        return if (elapsed > expected * abandonedAfter) Duration.INFINITE else expected - elapsed
    }

    private class Pause(val kind: PauseKind, val since: Duration)

    private companion object {
        const val LEARNING_RATE = 0.05
        val INITIAL_PAUSE = 5.seconds
    }
}
