package io.jasmineford.gateway.settings

import io.jasmineford.gateway.limit.RateLimitTolerance
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Role of a daemon. */
enum class NodeRole { ENTRY, HISTORY }

/**
 * Bounds that the deployment promises its users.
 *
 * @property grace time from the request to stop to the kill.
 * @property revoke time after which a withdrawn key is refused.
 * @property isRevokeStrict [revoke] holds for daemons without contact to the store as well.
 */
data class PromisedBounds(
    val grace: Duration,
    val revoke: Duration,
    val isRevokeStrict: Boolean,
    val allotments: RateLimitTolerance,
)

/**
 * Settings of one daemon.
 *
 * @property callers address for callers, entry role only.
 * @property readiness address for readiness checks, entry role only.
 * @property addressService address for address requests, entry role only.
 * @property peer address for datagrams and frames of the other daemons.
 * @property metrics address of the metrics.
 * @property dataDirectory folder for the history log, history role only.
 * @property isFirstStart the whole system starts for the first time, so an empty disk has lost nothing.
 */
data class NodeSettings(
    val name: String,
    val role: NodeRole,
    val zone: String,
    val region: String,
    val callers: InetSocketAddress?,
    val readiness: InetSocketAddress?,
    val addressService: InetSocketAddress?,
    val peer: InetSocketAddress,
    val metrics: InetSocketAddress,
    val store: InetSocketAddress,
    val dataDirectory: String?,
    val isFirstStart: Boolean,
    val toleratedDisks: Int,
    val bounds: PromisedBounds,
)
