package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.UsualTimes
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.store.Scheduler

/** Collaborators of [ProxyCall], shared by all calls of a daemon. */
data class CallServices(
    val clock: MonotonicClock,
    val wallMillis: () -> Long,
    val scheduler: Scheduler,
    val names: CallHeaderNames,
    val dispatcher: Dispatcher,
    val turns: TurnKeeper,
    val suspects: CrashSuspects,
    val sender: EndpointSender,
    val log: EventLog,
    val activity: ProgramActivity,
    val meter: AccountRateLimiter,
    val metrics: CallMetrics,
    val usualTimes: UsualTimes,
)
