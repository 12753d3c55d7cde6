package io.jasmineford.bench.capacity

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.time.VirtualClock
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

private fun callCpu(endpoints: Int): Double {
    val deployment = ScopedName("organisation", "model")
    val scheduler = CallScheduler(VirtualClock())
    val usable = (0 until endpoints).map { Endpoint("e$it", "10.0.0.$it:80", "zone-${it % ZONES}") }
    scheduler.endpointsChanged(mapOf(deployment to usable))
    val random = Random(1)
    var id = 0L
    fun runCall() {
        val account = ScopedName("organisation", "account-${random.nextInt(ACCOUNTS)}")
        val program = ProgramId(account, "program-${random.nextInt(PROGRAMS)}")
        scheduler.submit(QueuedCall(id = ++id, account = account, deployment = deployment, program = program, promptTokens = 1_000))
        scheduler.finished(id, Usage(prompt = 1_000, completion = 100, cached = 900))
    }
    repeat(CALLS) { runCall() }
    return cpuTime { repeat(CALLS) { runCall() } } / 1.microseconds / CALLS
}

/** CPU time to queue, place and settle one call, by endpoints of its deployment. */
internal fun schedulerProbes(): List<CapacityProbe> = listOf(
    CapacityProbe("scheduler-cpu", "us a call", "endpoint", listOf(6, 100, 600, 2_400), DESIGN_ENDPOINTS, ::callCpu),
)

private const val DESIGN_ENDPOINTS = 2_400
private const val ZONES = 7
private const val ACCOUNTS = 50
private const val PROGRAMS = 900
private const val CALLS = 3_000
