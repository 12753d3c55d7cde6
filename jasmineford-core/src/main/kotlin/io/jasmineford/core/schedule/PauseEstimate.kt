package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a program waits for between an answer and its next call. */
enum class PauseKind {
    /** A tool call requested by the answer. */
    TOOL,

    /** The program's user. */
    USER,
}

/**
 * Estimates the time between a program's answer and its next call. Pauses for tools and for users differ by an order of
 * magnitude, so averages are kept per account and [PauseKind].
 */
internal class PauseEstimate {
    private val paused = LinkedHashMap<ProgramId, Pause>()
    private val means = HashMap<Pair<ScopedName, PauseKind>, Duration>()

    /** Programs without a call in flight, longest paused first. */
    val programs: Set<ProgramId> get() = paused.keys

    fun answered(program: ProgramId, kind: PauseKind, now: Duration) {
        paused.remove(program)
        paused[program] = Pause(kind, now)
    }

    fun called(program: ProgramId, now: Duration) {
        val pause = paused.remove(program) ?: return
        val key = program.account to pause.kind
        val mean = means[key] ?: (now - pause.since)
        means[key] = mean + (now - pause.since - mean) * SMOOTHING_FACTOR
    }

    fun remove(program: ProgramId) {
        paused.remove(program)
    }

    /**
     * Expected remaining pause of [program]; negative when it is overdue. Infinite when it has paused for more than
     * [abandonedPauseRatio] times the average, so that it counts as abandoned.
     */
    fun remainingPause(program: ProgramId, now: Duration, abandonedPauseRatio: Double): Duration {
        val pause = paused.getValue(program)
        val expected = means[program.account to pause.kind] ?: INITIAL_PAUSE
        val elapsed = now - pause.since
        return if (elapsed > expected * abandonedPauseRatio) Duration.INFINITE else expected - elapsed
    }

    private class Pause(val kind: PauseKind, val since: Duration)

    private companion object {
        const val SMOOTHING_FACTOR = 0.05
        val INITIAL_PAUSE = 5.seconds
    }
}
