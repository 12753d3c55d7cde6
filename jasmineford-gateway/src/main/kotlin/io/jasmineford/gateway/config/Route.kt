package io.jasmineford.gateway.config

import kotlin.time.Duration

/** What may be done with a call whose outcome is not known. */
enum class RouteKind { SAFE, UNSAFE, STREAM }

/** One of the services that share a route's calls, in proportion to [weight]. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/**
 * A path prefix of a host and how its calls are handled.
 *
 * @property maxAttempts most endpoints that may run one call.
 * @property isStateful calls continue earlier turns that the system keeps for [retention].
 * @property isPublic calls need no key.
 * @property isResumable a stream may be continued at another endpoint after its last whole event.
 */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeout: Duration,
    val targetLatency: Duration,
    val priority: Int,
    val services: List<WeightedService>,
    val maxAttempts: Int = 1,
    val isStateful: Boolean = false,
    val retention: Duration = Duration.ZERO,
    val isPublic: Boolean = false,
    val isResumable: Boolean = false,
) {
    /** Whether a call may be run again after an outcome that is not known. */
    val isRepeatable: Boolean get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && isResumable)
}

/**
 * A group of endpoints that run the same software.
 *
 * @property coldRate calls a second that an endpoint bears after its start; 0 when it bears any.
 * @property tokensPerEvent tokens in one stream event; 0 for plain services.
 */
data class Service(
    val name: String,
    val coldRate: Double = 0.0,
    val tokensPerEvent: Int = 0,
)

/** A caller with its keys and its allotment; a rate of 0 is unlimited. */
data class ClientAccount(
    val name: String,
    val keys: List<String>,
    val ratePerSecond: Double,
    val burst: Double,
    val priority: Int?,
)

/** Bounds on what a caller may send. */
data class CallLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
