package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.endpoint.RouteLatencyBaseline
import io.jasmineford.gateway.http.MemoryBudget
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.rollout.VersionGate
import io.jasmineford.gateway.store.Scheduler

/** Collaborators of [ProxyCall], shared by all calls of a daemon. */
data class CallServices(
    val clock: MonotonicClock,
    val wallMillis: () -> Long,
    val scheduler: Scheduler,
    val names: CallHeaderNames,
    val dispatcher: Dispatcher,
    val turns: TurnCoordinator,
    val poisonCalls: PoisonCallDetector,
    val sender: EndpointSender,
    val log: EventLog,
    val activity: ProgramActivity,
    val rateLimiter: AccountRateLimiter,
    val metrics: CallMetrics,
    val latencyBaseline: RouteLatencyBaseline,
    val streamVersions: StreamVersions,
    val memory: MemoryBudget,
    val observer: CallObserver,
    val versionGate: VersionGate = VersionGate(clock),
    val firstSteps: FirstSteps = FirstSteps(clock, log),
)
