package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.CallHeaderNames
import io.jasmineford.gateway.call.programKey
import io.jasmineford.gateway.call.refusalHeaders
import io.jasmineford.gateway.config.ClientAccount
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.http.CallerExchange
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.limit.AdmissionClass
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.load.PressureGate
import io.jasmineford.gateway.load.PressureRequest
import io.jasmineford.gateway.load.ShedClass
import io.jasmineford.gateway.metrics.CallMetrics
import io.netty.buffer.Unpooled
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * First step of a call: rejects it as not run while the daemon is overloaded. Only the headers that the decision needs
 * are read, and nothing is logged for a call, so that rejections leave the processor to the calls that are taken.
 */
internal class LoadShedder(
    private val names: CallHeaderNames,
    private val gate: PressureGate,
    private val activity: ProgramActivity,
    private val config: () -> GatewayConfig?,
    private val metrics: CallMetrics,
) {
    /** Time for which a request that is handled now has probably waited to be read; zero without overload. */
    val requestAge: Duration get() = gate.requestAge

    /** Answers [request] with a rejection if it is to be shed; returns whether it was. */
    fun rejects(request: CallerRequest, exchange: CallerExchange): Boolean {
        val shed = if (gate.isShedding()) gate.decide(pressureRequest(request)) else null
        if (shed != null) {
            metrics.refused(shed.reason.name)
            val headers = refusalHeaders(names, request.headers[names.attemptId], shed.retryAfter)
            exchange.answer(UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER)
        }
        return shed != null
    }

    private fun pressureRequest(request: CallerRequest): PressureRequest {
        val account = request.headers[names.accountKey]?.let { config()?.accountOf(it) }
        return PressureRequest(
            account = account?.name.orEmpty(),
            shedClass = shedClassOf(request, account),
            deadline = request.headers[names.deadlineMillis]?.trim()?.toLongOrNull()?.milliseconds,
        )
    }

    private fun shedClassOf(request: CallerRequest, account: ClientAccount?): ShedClass {
        val program = request.headers[names.program]
        val admissionClass = program?.let { activity.admissionClass(programKey(account, it)) }
        // Daemons that have just started don't know the programs, but later turns and resumed streams name what they
        // continue.
        val continues = names.previousTurn in request.headers || names.resumedAttempt in request.headers
        return when {
            admissionClass == AdmissionClass.EXCESSIVE -> ShedClass.STARTING
            continues || admissionClass == AdmissionClass.UNDER_WAY -> ShedClass.UNDER_WAY
            admissionClass == AdmissionClass.NEW -> ShedClass.STARTING
            else -> ShedClass.SINGLE
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
