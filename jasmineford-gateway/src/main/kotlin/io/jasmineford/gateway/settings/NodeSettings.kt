package io.jasmineford.gateway.settings

import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.rollout.RolloutBounds
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Role of a daemon: accept callers, or store the history of turns. */
enum class NodeRole { ENTRY, HISTORY }

/**
 * Service guarantees of the deployment that the daemon must meet.
 *
 * @property stopGrace time from the request to stop until the process is killed.
 * @property revocationDelay time after which a revoked key must be refused.
 * @property isRevocationStrict whether [revocationDelay] also holds for daemons without contact with the store.
 * @property rateLimitTolerance tolerated use beyond the accounts' rate limits.
 */
data class PromisedBounds(
    val stopGrace: Duration,
    val revocationDelay: Duration,
    val isRevocationStrict: Boolean,
    val rateLimitTolerance: RateLimitTolerance,
)

/**
 * Settings of one daemon.
 *
 * @property callerAddress address for callers, entry role only.
 * @property readinessAddress address for readiness checks, entry role only.
 * @property addressServiceAddress address for address requests, entry role only.
 * @property peerAddress address for heartbeats (UDP) and history requests (TCP) of the other daemons.
 * @property metricsAddress address at which metrics are served.
 * @property storeAddress address of the platform's store.
 * @property dataDirectory directory of the history log, history role only.
 * @property isFirstStart whether the whole system starts for the first time, so that an empty disk is complete.
 * @property toleratedDiskLosses number of disks that may be lost at the same time without losing history.
 * @property processorCapacity processor capacity of this machine, in cores of the reference machine.
 * @property maxDescriptors descriptors that the process may open; 0 if its own limit applies.
 * @property diskBytes space that the daemon may use in [dataDirectory]; 0 if it is not limited.
 * @property placesByWork whether calls to all services are placed by the remaining work of endpoints.
 * @property rollouts bounds of rollouts; null where they are not in use.
 */
data class NodeSettings(
    val name: String,
    val role: NodeRole,
    val zone: String,
    val region: String,
    val callerAddress: InetSocketAddress?,
    val readinessAddress: InetSocketAddress?,
    val addressServiceAddress: InetSocketAddress?,
    val peerAddress: InetSocketAddress,
    val metricsAddress: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    val dataDirectory: String?,
    val isFirstStart: Boolean,
    val toleratedDiskLosses: Int,
    val bounds: PromisedBounds,
    val processorCapacity: Double = 1.0,
    val diskBytes: Long = 0,
    val maxDescriptors: Int = 0,
    val placesByWork: Boolean = false,
    val rollouts: RolloutBounds? = null,
)
