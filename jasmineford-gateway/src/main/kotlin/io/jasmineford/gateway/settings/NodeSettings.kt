package io.jasmineford.gateway.settings

import io.jasmineford.gateway.limit.AllotmentTolerance
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Role of a daemon: accept callers, or store the history of turns. */
enum class NodeRole { ENTRY, HISTORY }

/**
 * Service guarantees of the deployment that the daemon must meet.
 *
 * @property grace time from the request to stop until the process is killed.
 * @property revoke time after which a revoked key must be refused.
 * @property isRevokeStrict whether [revoke] also holds for daemons without contact with the store.
 * @property allotments tolerated use beyond the accounts' rate limits.
 */
data class PromisedBounds(
    val grace: Duration,
    val revoke: Duration,
    val isRevokeStrict: Boolean,
    val allotments: AllotmentTolerance,
)

/**
 * Settings of one daemon.
 *
 * @property callers address for callers, entry role only.
 * @property readiness address for readiness checks, entry role only.
 * @property addressService address for address requests, entry role only.
 * @property peer address for heartbeats (UDP) and history requests (TCP) of the other daemons.
 * @property metrics address at which metrics are served.
 * @property store address of the platform's store.
 * @property dataDirectory directory of the history log, history role only.
 * @property isFirstStart whether the whole system starts for the first time, so that an empty disk is complete.
 * @property toleratedDisks number of disks that may be lost at the same time without losing history.
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
