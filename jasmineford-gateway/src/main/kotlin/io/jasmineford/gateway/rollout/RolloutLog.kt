package io.jasmineford.gateway.rollout

import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.store.StoreReply
import kotlin.time.Duration

/** Why a daemon applies a phase: by its own decision or because [source] told it. */
internal class PhaseCause(val reason: String, val source: String, val evidence: RolloutEvidence? = null)

/** Log lines of rollouts: one for each change of an order, a phase or a status at each daemon. */
internal class RolloutLog(private val log: EventLog) {
    /** Logs that [rollout] has entered its phase or ended. */
    fun phase(rollout: RolloutProgress, cause: PhaseCause, now: Duration) = log.event(
        "rollout-phase",
        "service" to rollout.order.service,
        "to" to rollout.order.to,
        "order" to rollout.opened,
        "phase" to rollout.phase,
        "round" to rollout.round,
        "outcome" to rollout.outcome,
        "reason" to cause.reason,
        "source" to cause.source,
        "elapsed_ms" to (now - rollout.startedAt).inWholeMilliseconds,
        "sent" to rollout.usage.sent,
        "sent_to_new" to rollout.usage.sentToNew,
        "test" to cause.evidence?.test,
        "route" to cause.evidence?.route,
        "new" to cause.evidence?.new?.summary(),
        "old" to cause.evidence?.old?.summary(),
    )

    /** Logs that the order of [rollout] has changed in the store. */
    fun order(name: String, rollout: RolloutProgress) = log.event(
        name,
        "service" to rollout.order.service,
        "to" to rollout.order.to,
        "order" to rollout.opened,
        "duration_ms" to rollout.order.duration.inWholeMilliseconds,
        "outcome" to rollout.outcome,
        "sent" to rollout.usage.sent,
        "sent_to_new" to rollout.usage.sentToNew,
    )

    /** Logs the [reply] to the write of [status]. */
    fun written(rollout: RolloutProgress, status: RolloutStatus, reply: StoreReply<Unit>) = log.event(
        "rollout-status",
        "service" to rollout.order.service,
        "to" to status.to,
        "order" to rollout.opened,
        "state" to status.outcome,
        "revision" to rollout.revision,
        "reply" to reply,
    )

    private fun RouteTally.summary() = "$ended/$failed/$slow/${if (ended > 0) micros / ended else 0}us"
}
