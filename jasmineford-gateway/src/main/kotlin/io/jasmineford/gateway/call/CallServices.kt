package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.UsualTimes
import io.jasmineford.gateway.limit.AccountMeter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.store.Scheduler

/** What calls need from the daemon. */
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
    val meter: AccountMeter,
    val metrics: CallMetrics,
    val usualTimes: UsualTimes,
)
