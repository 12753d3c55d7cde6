package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.AdmissionControl
import io.jasmineford.gateway.call.AdmissionDecision
import io.jasmineford.gateway.call.AdmissionRequest
import io.jasmineford.gateway.call.AdmittedCall
import io.jasmineford.gateway.call.CallAttributes
import io.jasmineford.gateway.call.CallServices
import io.jasmineford.gateway.call.FirstStep
import io.jasmineford.gateway.call.RefusalReason
import io.jasmineford.gateway.call.TurnSession
import io.jasmineford.gateway.call.read
import io.jasmineford.gateway.call.refusalHeaders
import io.jasmineford.gateway.call.shortKey
import io.jasmineford.gateway.config.ClientAccount
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.http.CallerExchange
import io.jasmineford.gateway.http.CallerHandler
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.limit.AdmissionClass
import io.jasmineford.gateway.settings.PromisedBounds
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import java.util.zip.CRC32
import kotlin.time.Duration

/**
 * Handles callers' requests: runs the admission checks, refuses or starts the call.
 *
 * @param openCalls starts the calls.
 * @param loadShedder rejects calls while the daemon is overloaded; null to take all.
 * @param accepts whether a call that ends by the given time may be started, as the daemon may be stopping.
 */
internal class CallerRequestHandler(
    private val services: CallServices,
    private val storeState: () -> StoreState,
    bounds: PromisedBounds,
    private val openCalls: OpenCalls,
    private val loadShedder: LoadShedder? = null,
    private val accepts: (expiresAt: Duration) -> Boolean,
) : CallerHandler {
    private val names = services.names
    private val admission = AdmissionControl(
        rateLimiter = services.rateLimiter,
        activity = services.activity,
        contactAge = { storeState().contact.age() },
        maxContactAge = maxContactAge(bounds),
        isBlocked = services.poisonCalls::isBlocked,
    )

    override fun handle(request: CallerRequest, exchange: CallerExchange) {
        services.firstSteps.record(FirstStep.CALL)
        if (loadShedder?.rejects(request, exchange) == true) return
        val attributes = names.read(request)
        if (attributes == null) {
            refuse(request, exchange, AdmissionDecision.Refused(BAD_REQUEST, RefusalReason.BAD_HEADERS))
            return
        }
        val config = storeState().config
        val host = request.headers[HttpHeaderNames.HOST]
        val call = AdmissionRequest(
            host = host,
            path = request.path,
            key = attributes.accountKey,
            program = attributes.program,
            continuesProgram = attributes.previousTurn != null || attributes.resumedAttempt != null,
        )
        when (val decision = admission.decide(config, call) { fingerprint(request, it) }) {
            is AdmissionDecision.Refused -> refuse(request, exchange, decision)
            is AdmissionDecision.Admitted -> start(request, exchange, attributes, decision)
        }
    }

    private fun start(
        request: CallerRequest,
        exchange: CallerExchange,
        attributes: CallAttributes,
        decision: AdmissionDecision.Admitted,
    ) {
        services.firstSteps.record(FirstStep.ADMITTED)
        val service = storeState().config?.let { serviceOf(decision.route, attributes, it) }
        if (service == null) {
            refuse(request, exchange, AdmissionDecision.Refused(UNAVAILABLE, RefusalReason.NO_SERVICE))
            return
        }
        val call = AdmittedCall(
            request = request,
            attributes = attributes,
            route = decision.route,
            account = decision.account,
            service = service,
            fingerprint = decision.fingerprint,
            arrivedAt = services.clock.now() - (loadShedder?.requestAge ?: Duration.ZERO),
            arrivedAtMillis = services.wallMillis(),
            isStarting = decision.admissionClass == AdmissionClass.NEW,
        )
        val reason = when {
            !accepts(call.expiresAt) -> RefusalReason.STOPPING
            TurnSession.isPartial(call) -> RefusalReason.PARTIAL_TURN
            else -> null
        }
        if (reason == null) {
            openCalls.start(call, exchange)
        } else {
            call.account?.let { services.rateLimiter.refund(it) }
            refuse(request, exchange, AdmissionDecision.Refused(UNAVAILABLE, reason, Duration.ZERO))
        }
    }

    private fun fingerprint(request: CallerRequest, account: ClientAccount?): String {
        val sum = CRC32()
        sum.update(request.body.nioBuffer())
        return "${account?.name}|${request.method}|${shortKey(request.uri)}|${sum.value}"
    }

    private fun refuse(request: CallerRequest, exchange: CallerExchange, refusal: AdmissionDecision.Refused) {
        val id = request.headers[names.attemptId]
        val state = storeState()
        services.metrics.refused(refusal.reason.name)
        services.firstSteps.recordRefusal()
        services.log.event(
            "call-refused",
            "id" to id,
            "status" to refusal.status,
            "reason" to refusal.reason,
            "version" to state.config?.version,
            "contact_ms" to state.contact.age().inWholeMilliseconds,
            "account" to refusal.account?.let { "${it.name}/${it.ratePerSecond}/${it.burst}" },
            "path" to request.path,
            "program" to request.headers[names.program],
            "standing" to refusal.admissionClass,
            "bucket" to refusal.bucket,
            "retry_after" to refusal.retryAfter,
        )
        exchange.answer(refusal.status, refusalHeaders(names, id, refusal.retryAfter), Unpooled.EMPTY_BUFFER)
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503

        /**
         * Fraction of the key revocation bound, from the latest store contact on, in which keyed calls are admitted.
         */
        const val KEYED_CONTACT_FRACTION = 0.88

        fun maxContactAge(bounds: PromisedBounds): Duration =
            if (bounds.isRevocationStrict) bounds.revocationDelay * KEYED_CONTACT_FRACTION else Duration.INFINITE
    }
}

/**
 * Chooses one of the route's services in proportion to their weights, by a hash of the program or, without one, of the
 * attempt. All calls of a program thus go to the same service. Null when no service has a weight or exists.
 */
internal fun serviceOf(route: Route, attributes: CallAttributes, config: GatewayConfig): Service? {
    val total = route.services.sumOf { it.weight }
    if (total <= 0) return null
    var point = Math.floorMod((attributes.program ?: attributes.attemptId).hashCode(), total)
    val chosen = route.services.first { share ->
        point -= share.weight
        point < 0
    }
    return config.services[chosen.service]
}
