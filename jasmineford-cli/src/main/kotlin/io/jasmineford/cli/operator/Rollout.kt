package io.jasmineford.cli.operator

import com.github.michaelbull.result.get
import io.jasmineford.daemon.operator.DaemonStatus
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Status of one VM.
 *
 * @property operatorAddress `host:port` of the operator port.
 * @property status null when the operator port does not answer.
 */
@Serializable
internal data class VmReport(
    val vm: String,
    val operatorAddress: String,
    val status: DaemonStatus? = null,
)

/**
 * Progress of a configuration rollout.
 *
 * @property inForce VMs on which [generation] or a newer one is active.
 * @property missing VMs that are behind or did not answer.
 */
@Serializable
internal data class RolloutReport(
    val generation: Long,
    val inForce: List<String>,
    val missing: List<String>,
)

/** All VMs that the daemon at [address] knows, including its own, by name; null when it does not answer. */
internal suspend fun OperatorClient.fleet(address: String): List<VmReport>? = coroutineScope {
    val first = status(address).get() ?: return@coroutineScope null
    val others = first.peers.filter { it.vm != first.vm && !it.isRevoked }.map { peer ->
        async { VmReport(peer.vm, peer.operatorAddress, status(peer.operatorAddress).get()) }
    }
    (listOf(VmReport(first.vm, address, first)) + others.awaitAll()).sortedBy { it.vm }
}

/** Polls until [generation] is active on every VM, at most for [timeout], and reports the VMs on either side. */
internal suspend fun OperatorClient.awaitInForce(address: String, generation: Long, timeout: Duration): RolloutReport {
    val deadline: TimeMark = TimeSource.Monotonic.markNow() + timeout
    while (true) {
        val vms = fleet(address).orEmpty()
        val (inForce, missing) = vms.partition { (it.status?.generation ?: -1) >= generation }
        val report = RolloutReport(generation, inForce.map { it.vm }, missing.map { it.vm })
        val isDone = inForce.isNotEmpty() && missing.isEmpty()
        if (isDone || deadline.hasPassedNow()) return report
        delay(ROLLOUT_POLL)
    }
}

private val ROLLOUT_POLL = 50.milliseconds
