package io.jasmineford.gateway.peer

import io.jasmineford.gateway.call.CrashReport
import io.jasmineford.gateway.endpoint.RateReport
import io.jasmineford.gateway.limit.AccountUsage
import io.jasmineford.gateway.rollout.RolloutReport
import io.jasmineford.gateway.rollout.RolloutState
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress

/**
 * A daemon as registered in the platform's store.
 *
 * @property incarnation start time of the process in Unix milliseconds.
 * @property isEntry whether the daemon accepts callers; otherwise it stores the history of turns.
 * @property peerPort UDP and TCP port for the other daemons.
 * @property callers address for callers as `IP:PORT`, empty for history daemons.
 * @property capacity processor capacity in cores of the reference machine.
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
    val capacity: Double = 1.0,
) {
    /** Short id of this member in lists of daemons within heartbeats. */
    val shortId: Int get() = name.hashCode()

    /** Address for heartbeats; resolved once only, as some are sent every second. */
    val peerAddress: InetSocketAddress by lazy(LazyThreadSafetyMode.NONE) { InetSocketAddress(ip, peerPort) }
}

/** Rows of usage in one datagram: some 50 bytes each, with room for the rest of the heartbeat. */
private const val MAX_USES = 800

/**
 * State that a daemon sends to its peers periodically.
 *
 * Load and usage are those of the daemons behind the sender: its own, and those of the daemons for which it relays to
 * the receiver. They never include the receiver's.
 *
 * @property sequence number of this message among those sent to the receiver.
 * @property echo highest sequence number received from the receiver, so that the receiver can date this message.
 * @property isReady whether the daemon is ready to serve; for a history daemon, whether its disk is complete.
 * @property isLeaving whether the daemon is stopping and should get no new calls.
 * @property contactAgeMillis age of its latest confirmed contact with the store, -1 when there is none.
 * @property configVersion version of the configuration in force, -1 before the first one.
 * @property inFlight number of calls in flight by endpoint id.
 * @property uses usage of the rate limits by client account.
 * @property crashes number of crashes of endpoints by request fingerprint, for daemons that don't read [crashReports].
 * @property programs number of calls by program, for the programs whose number changed since the last message.
 * @property relay name of the entry daemon that relays for the sender, its own name if it is a relay itself; null for
 * daemons that exchange with every other daemon.
 * @property relayChanges number of times that the sender has begun to use another relay, or none.
 * @property isUsageComplete whether [uses] lists every account rather than those that changed recently.
 * @property ready short ids of the daemons for which the sender relays that callers may use.
 * @property unready short ids of the other daemons for which the sender relays.
 * @property relays short ids of the relays that the sender hears and that are not the default ones, told to relays.
 * @property daemons number of daemons that may be admitting calls, told to daemons that are not relays.
 * @property silent number among [daemons] whose usage is not known, told to daemons that are not relays.
 * @property advertised short ids of the daemons that callers should use, told to daemons that are not relays.
 * @property demand calls per second that arrive for each service with endpoints whose calls are limited.
 * @property rates recent observations of the rates that endpoints name.
 * @property to incarnation of the receiver to which the sender addresses this message; -1 from older releases.
 * @property crashReports recent crashes of endpoints with the calls that were in work there.
 * @property responses ages in milliseconds of responses to calls in such crashes, by request fingerprint.
 * @property pressure 0, or at least 1 while the sender sheds calls because its event loop lags.
 * @property overloaded short ids of the daemons for which the sender relays that shed calls.
 * @property workMillis what is left of the calls in flight in milliseconds on a reference endpoint, in the order of
 * [inFlight]; empty where it is not used.
 * @property workBlocks memory that the calls in flight take in blocks of 64 tokens, in the order of [inFlight].
 * @property rollouts open rollouts as the sender knows them.
 * @property rolloutReports counts of calls of the sender, and of daemons for which it relays, during open rollouts.
 * @property unknownMillis time for which the usage of silent daemons is not known to the sender, summed over them; told
 * to daemons that are not relays.
 * @property lostMillis such time whose usage will never be known, since the sender's start; told to the same.
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
    val relay: String? = null,
    val relayChanges: Int = 0,
    val isUsageComplete: Boolean = false,
    val ready: List<Int> = emptyList(),
    val unready: List<Int> = emptyList(),
    val relays: List<Int> = emptyList(),
    val daemons: Int = 0,
    val silent: Int = 0,
    val advertised: List<Int> = emptyList(),
    val demand: Map<String, Double> = emptyMap(),
    val rates: List<RateReport> = emptyList(),
    val crashReports: List<CrashReport> = emptyList(),
    val responses: Map<String, Long> = emptyMap(),
    val to: Long = -1,
    val pressure: Double = 0.0,
    val overloaded: List<Int> = emptyList(),
    val workMillis: List<Int> = emptyList(),
    val workBlocks: List<Int> = emptyList(),
    val rollouts: List<RolloutState> = emptyList(),
    val rolloutReports: List<RolloutReport> = emptyList(),
    val unknownMillis: Long = 0,
    val lostMillis: Long = 0,
) {
    /** This heartbeat in parts that fit into a datagram each; the last part completes the usage. */
    fun parts(): List<Heartbeat> {
        val chunks = uses.chunked(MAX_USES)
        if (chunks.size <= 1) return listOf(this)
        val first = copy(uses = chunks.first(), isUsageComplete = false)
        val rest = chunks.drop(1).map {
            first.copy(uses = it, programs = emptyMap(), rates = emptyList(), rolloutReports = emptyList())
        }
        return listOf(first) + rest.dropLast(1) + rest.last().copy(isUsageComplete = isUsageComplete)
    }

    /** Whether the sender relays for other daemons. */
    val isFromRelay: Boolean get() = relay == from
}

/**
 * Codec of messages between daemons. Unknown keys are ignored, so that daemons of different releases can interoperate.
 */
internal val peerCbor = Cbor { ignoreUnknownKeys = true }
