package io.jasmineford.daemon.peer

import com.github.michaelbull.result.get
import com.google.protobuf.ByteString
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.LeaseHolder
import io.jasmineford.core.lease.MembershipAction
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.daemon.control.FaultyPlatform
import io.jasmineford.daemon.control.FaultyStore
import io.jasmineford.daemon.limit.LimitDriver
import io.jasmineford.protocol.RenewReply
import io.jasmineford.protocol.RenewRequest
import io.jasmineford.store.StoredObject
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import io.jasmineford.core.lease.PromiseRequest as Request
import io.jasmineford.protocol.PromiseRequest as RequestMessage

/** Pins the messages about leases and the JSON text of the lease that they carry. */
class OwnershipMessagesTest {
    private val lease = Lease(VmIdentity("a-1", "a", "c:1", "p:2", "o:3"), 7, 8, true, true)
    private val leaseText = """{"identity":{"vm":"a-1","zone":"a","callerAddress":"c:1","peerAddress":"p:2",""" +
        """"operatorAddress":"o:3"},"incarnation":7,"renewal":8,"isRevoked":true,"isLeaving":true}"""
    private val renewRequest = RenewRequest.newBuilder()
        .setVm("a-1").setLease(ByteString.copyFromUtf8(leaseText)).setResourceVersion("0").setNonce("n1")
        .build()
    private val renewReply = RenewReply.newBuilder()
        .setRenewed(true).setLease(ByteString.copyFromUtf8(leaseText)).setResourceVersion("1").setNonce("n1")
        .build()
    private val promiseRequest = Request(LeaseHolder("a-1", 7), LeaseHolder("b-1", 6), 5, 4_000.milliseconds)
    private val promiseMessage = RequestMessage.newBuilder()
        .setVm("a-1").setIncarnation(7).setMemberVm("b-1").setMemberIncarnation(6).setMapEpoch(5).setIntervalMs(4_000)
        .build()

    @Test
    fun `a renewal and a promise reach a peer whole and their replies come back whole`() = runBlocking {
        val clock = systemMonotonicClock()
        val renewals = mutableListOf<RenewRequest>()
        val promises = mutableListOf<Request>()
        val holder = ConfigurationHolder(clock, 1.seconds)
        val limits = LimitDriver("b-1", Dispatchers.Default, clock, holder, 4, ::unused)
        val ownership = OwnershipPort({ promises.add(it) }, { renewReply.also { _ -> renewals += it } }, limits)
        val port = PeerPort(clock, { emptyFlow() }, { unused("probe") }, ::unused, ::unused, ownership)
        val server = peerServer("127.0.0.1", 0, PeerService(port)).start()
        try {
            PeerClients("a-1", clock) { 0 }.use { clients ->
                val peers = GrpcMembershipPeers(clients, 10.seconds)
                val address = "127.0.0.1:${server.port}"
                val stored = peers.renew(address, MembershipAction.WriteLease(lease, 0, "n1", null))
                assertEquals(StoredObject("leases/a-1", 1, "n1", leaseText), stored.get())
                assertTrue(peers.promise(address, promiseRequest))
            }
        } finally {
            server.shutdownNow()
        }
        assertEquals(listOf(renewRequest), renewals)
        assertEquals(listOf(promiseRequest), promises)
    }

    private fun unused(argument: Any): Nothing = error("expected no such call, actual one with $argument")

    @Test
    fun `a promise request is written and read`() {
        assertEquals(promiseMessage, promiseRequest.toMessage())
        assertEquals(promiseRequest, promiseMessage.toRequest())
    }

    @Test
    fun `a renewal for another VM stores the lease as sent, and a conflict returns the stored one`() = runBlocking {
        val platform = FaultyPlatform(this, Random(1)) { Duration.ZERO }
        val store = FaultyStore(platform, "b-1")
        assertEquals(renewReply, renewFor(store, renewRequest))
        assertEquals(StoredObject("leases/a-1", 1, "n1", leaseText), platform.objects.get("leases/a-1").get())
        val conflict = renewReply.toBuilder().setRenewed(false).setConflict(true).build()
        assertEquals(conflict, renewFor(store, renewRequest))
    }
}
