package io.jasmineford.gateway.config

import kotlin.time.Duration

/** Kind of a route's calls, which decides whether a call may be retried when its outcome is not known. */
enum class RouteKind { SAFE, UNSAFE, STREAM }

/** One of the services between which a route's calls are divided in proportion to [weight]. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/**
 * A path prefix of a host and the handling of its calls.
 *
 * @property timeout time limit of a call.
 * @property priority rank of waiting calls; lower ranks are dispatched earlier, 0 first.
 * @property maxAttempts largest number of endpoints to which one call may be sent.
 * @property isStateful whether calls continue earlier turns, which are stored for [retention].
 * @property isPublic whether calls need no key.
 * @property isResumable whether a broken stream may be continued at another endpoint after its last complete event.
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
    /** Whether a call may be retried when its outcome is not known. */
    val isRepeatable: Boolean get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && isResumable)
}

/**
 * A group of endpoints that run the same software.
 *
 * @property coldRate calls per second that an endpoint can take while it warms up after its start; 0 for no limit.
 * @property tokensPerEvent tokens in one stream event; 0 for services that do not generate tokens.
 * @property memoryTokens memory of an endpoint for prompts and generated tokens, in tokens; 0 if unknown.
 */
data class Service(
    val name: String,
    val coldRate: Double = 0.0,
    val tokensPerEvent: Int = 0,
    val memoryTokens: Int = 0,
)

/**
 * A client account with its keys and its rate limit.
 *
 * @property ratePerSecond admitted calls per second over all daemons; 0 for no limit.
 * @property burst calls that may exceed the rate at once.
 * @property priority replaces the priority of the route; null when the route's applies.
 */
data class ClientAccount(
    val name: String,
    val keys: List<String>,
    val ratePerSecond: Double,
    val burst: Double,
    val priority: Int?,
)

/**
 * Limits on callers' requests and connections.
 *
 * @property headerTimeout longest time from the headers to the end of a request.
 * @property idleTimeout time without a request after which a connection is closed.
 */
data class CallLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
