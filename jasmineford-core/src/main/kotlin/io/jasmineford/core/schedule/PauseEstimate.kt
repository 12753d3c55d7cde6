package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Expected time between a program's answer and its next call, from the program's own pauses and its account's. */
internal class PauseEstimate {
    private val paused = LinkedHashMap<ProgramId, Duration>()
    private val ofProgram = HashMap<ProgramId, Duration>()
    private val ofAccount = HashMap<ScopedName, Duration>()

    /** Programs with no call in flight and the times of their last answers, the longest paused first. */
    val pausedSince: Map<ProgramId, Duration> get() = paused

    fun answered(program: ProgramId, now: Duration) {
        paused.remove(program)
        paused[program] = now
    }

    fun called(program: ProgramId, now: Duration) {
        val since = paused.remove(program) ?: return
        val pause = now - since
        val before = ofProgram[program] ?: pause
        ofProgram[program] = before + (pause - before) * PROGRAM_RATE
        val general = ofAccount[program.account] ?: pause
        ofAccount[program.account] = general + (pause - general) * ACCOUNT_RATE
    }

    fun remove(program: ProgramId) {
        paused.remove(program)
        ofProgram.remove(program)
    }

    /** Expected length of a pause of [program]. */
    fun of(program: ProgramId): Duration = ofProgram[program] ?: ofAccount[program.account] ?: INITIAL_PAUSE

    private companion object {
        const val PROGRAM_RATE = 0.3
        const val ACCOUNT_RATE = 0.05
        val INITIAL_PAUSE = 5.seconds
    }
}
