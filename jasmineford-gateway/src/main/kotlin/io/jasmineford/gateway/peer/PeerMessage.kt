package io.jasmineford.gateway.peer

import io.jasmineford.gateway.limit.AccountUsage
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/**
 * A daemon as registered in the platform's store.
 *
 * @property incarnation Unix milliseconds of its start.
 * @property callers address for callers, empty for history daemons.
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
 * State that a daemon tells its peers.
 *
 * @property sequence counts the messages to the receiver.
 * @property echo highest sequence received from the receiver; proves that this message is younger than that one.
 * @property isLeaving the daemon stops and takes no new calls.
 * @property contactAgeMillis age of its newest contact with the store, -1 when it has none.
 * @property configVersion version in force.
 * @property inFlight calls at each endpoint.
 * @property programs calls of each program that had some since the last message.
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
    /** The part that history daemons need. */
    fun withoutLoad(): Heartbeat =
        copy(inFlight = emptyMap(), uses = emptyList(), crashes = emptyMap(), programs = emptyMap())
}

/** Codec of messages between daemons. */
internal val peerCbor = Cbor { ignoreUnknownKeys = true }
