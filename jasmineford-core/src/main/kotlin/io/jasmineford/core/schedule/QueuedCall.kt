package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.Priority
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import kotlin.time.Duration

/**
 * A call that waits for an endpoint.
 *
 * @property id unique on this VM.
 * @property program null for a call outside any program.
 * @property promptTokens estimated prompt tokens, including the history.
 * @property prefix digest of a prompt prefix shared between programs, such as a system message; null when there is
 *   none.
 * @property prefixTokens estimated tokens of the prefix, part of [promptTokens].
 * @property submittedAt time on this VM's monotonic clock.
 * @property deadline time on this VM's monotonic clock at which the call expires if it is still waiting.
 * @property excluded names of endpoints on which the call must not run.
 */
data class QueuedCall(
    val id: Long,
    val account: ScopedName,
    val deployment: ScopedName,
    val program: ProgramId? = null,
    val priority: Priority = Priority.DRAFT,
    val promptTokens: Long = 0,
    val prefix: String? = null,
    val prefixTokens: Long = 0,
    val submittedAt: Duration = Duration.ZERO,
    val deadline: Duration = Duration.INFINITE,
    val excluded: Set<String> = emptySet(),
)

/** Decision on a queued call. */
sealed interface ScheduleDecision {
    /** Id of the call, see [QueuedCall.id]. */
    val call: Long

    /**
     * Dispatch of the call to [endpoint]. It occupies one slot of the endpoint's window until [CallScheduler.finished].
     *
     * @property expectedCached prompt tokens that the endpoint is expected to have cached.
     */
    data class Dispatch(
        override val call: Long,
        val endpoint: Endpoint,
        val expectedCached: Long = 0,
    ) : ScheduleDecision

    /** The deadline passed while the call was waiting; it did not run. */
    data class Expire(override val call: Long) : ScheduleDecision
}

/** Decision on the KV cache of a program without a call in flight. Without a decision, the cache is kept. */
sealed interface CacheDecision {
    val program: ProgramId

    /** Frees the program's cache at [endpoint]. */
    data class Drop(override val program: ProgramId, val endpoint: Endpoint) : CacheDecision

    /** Exports the program's cache from [from], imports it at [to] and then frees it at [from]. */
    data class Export(override val program: ProgramId, val from: Endpoint, val to: Endpoint) : CacheDecision
}
