package io.jasmineford.gateway.peer

import io.jasmineford.gateway.limit.AccountUsage
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/**
 * A daemon as registered in the platform's store.
 *
 * @property incarnation start time of the process in Unix milliseconds.
 * @property isEntry whether the daemon accepts callers; otherwise it stores the history of turns.
 * @property peerPort UDP and TCP port for the other daemons.
 * @property callers address for callers as `IP:PORT`, empty for history daemons.
 */
@Serializable
data class Member(
    val name: String,
    val incarnation: Long,
    val zone: String,
    val region: String,
    val isEntry: Boolean,
    val ip: String,
    val peerPort: Int,
    val callers: String = "",
)

/**
 * State that a daemon sends to its peers periodically.
 *
 * @property sequence number of this message among those sent to the receiver.
 * @property echo highest sequence number received from the receiver, so that the receiver can date this message.
 * @property isReady whether the daemon is ready to serve; for a history daemon, whether its disk is complete.
 * @property isLeaving whether the daemon is stopping and should get no new calls.
 * @property contactAgeMillis age of its latest confirmed contact with the store, -1 when there is none.
 * @property configVersion version of the configuration in force, -1 before the first one.
 * @property inFlight number of calls in flight by endpoint id.
 * @property uses usage of the rate limits by client account.
 * @property crashes number of calls that broke an endpoint, by request fingerprint.
 * @property programs number of calls by program, for the programs whose number changed since the last message.
 */
@Serializable
data class Heartbeat(
    val from: String,
    val incarnation: Long,
    val sequence: Long,
    val echo: Long = -1,
    val isReady: Boolean = false,
    val isLeaving: Boolean = false,
    val contactAgeMillis: Long = -1,
    val configVersion: Long = -1,
    val inFlight: Map<String, Int> = emptyMap(),
    val uses: List<AccountUsage> = emptyList(),
    val crashes: Map<String, Int> = emptyMap(),
    val programs: Map<String, Int> = emptyMap(),
) {
    /** Copy without load information, which history daemons do not use. */
    fun withoutLoad(): Heartbeat =
        copy(inFlight = emptyMap(), uses = emptyList(), crashes = emptyMap(), programs = emptyMap())
}

/**
 * Codec of messages between daemons. Unknown keys are ignored, so that daemons of different releases can interoperate.
 */
internal val peerCbor = Cbor { ignoreUnknownKeys = true }
