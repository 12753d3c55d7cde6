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
 * @property promptTokens estimate of the prompt's tokens, history included.
 * @property prefix digest of the part of the prompt that other programs share, such as a system message; null without.
 * @property prefixTokens estimate of the tokens of [prefix], part of [promptTokens].
 * @property deadline on this VM's monotonic clock; the call is expired when it is still waiting then.
 * @property excluded endpoints that must not be tried, by name.
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

/** What happens to a queued call. */
sealed interface ScheduleDecision {
    /** Id of the call. */
    val call: Long

    /**
     * The call goes to [endpoint] now and occupies one slot of its window until [CallScheduler.finished].
     *
     * @property expectedCached prompt tokens that the endpoint is believed to cache.
     */
    data class Dispatch(
        override val call: Long,
        val endpoint: Endpoint,
        val expectedCached: Long = 0,
    ) : ScheduleDecision

    /** The deadline passed before a slot was free; the call did not run. */
    data class Expire(override val call: Long) : ScheduleDecision
}

/** What happens to the KV cache of a program that has no call in flight. Without a decision it is held. */
sealed interface CacheDecision {
    val program: ProgramId

    /** Frees the memory of the program at [endpoint]. */
    data class Drop(override val program: ProgramId, val endpoint: Endpoint) : CacheDecision

    /** Exports the program's cache from [from], imports it at [to] and then frees it at [from]. */
    data class Export(override val program: ProgramId, val from: Endpoint, val to: Endpoint) : CacheDecision
}
