package io.jasmineford.daemon.endpoint

import io.grpc.StatusException
import io.jasmineford.protocol.CrashReply
import io.jasmineford.protocol.CrashReport
import io.jasmineford.protocol.PeerGrpcKt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit

/**
 * Reports the request that was in flight when an endpoint crashed to every other VM, so that all VMs count it towards
 * the quarantine.
 *
 * @param peers returns the stubs of the other VMs.
 */
internal class CrashReports(
    private val scope: CoroutineScope,
    private val peers: () -> List<PeerGrpcKt.PeerCoroutineStub>,
) {
    /**
     * Sends a report to all peers without retries. A peer that misses it counts only the crashes that it observes
     * itself.
     */
    fun send(deployment: String, endpoint: String, digest: String) {
        val report = CrashReport.newBuilder()
            .setDeployment(deployment)
            .setEndpoint(endpoint)
            .setRequestDigest(digest)
            .build()
        for (peer in peers()) scope.launch { send(peer, report) }
    }

    private suspend fun send(peer: PeerGrpcKt.PeerCoroutineStub, report: CrashReport): CrashReply? = try {
        peer.withDeadlineAfter(TIMEOUT_MS, TimeUnit.MILLISECONDS).reportCrash(report)
    } catch (_: StatusException) {
        null
    }

    private companion object {
        const val TIMEOUT_MS = 1_000L
    }
}
