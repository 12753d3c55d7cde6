package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.http.ProcessResources
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.settings.NodeRole
import io.jasmineford.gateway.settings.NodeSettings
import io.jasmineford.gateway.store.MirrorContext
import io.jasmineford.gateway.store.ObjectStoreClient
import io.jasmineford.gateway.store.Scheduler
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Runtime shared by the parts of a daemon: one event loop for traffic and control state, clocks, the log and the client
 * of the platform's store.
 */
data class NodeRuntime(
    val settings: NodeSettings,
    val group: EventLoopGroup,
    val clock: MonotonicClock,
    val wallMillis: () -> Long,
    val log: EventLog,
    val store: ObjectStoreClient,
    val decoder: ObjectDecoder,
) {
    /** The event loop on which all control state is used. */
    val loop: EventLoop = group.next() as EventLoop

    /** Descriptors and memory for the listeners. */
    val resources = ProcessResources(
        descriptors = ProcessResources.descriptorLimit(settings.maxDescriptors),
        heapBytes = Runtime.getRuntime().maxMemory(),
        log = log,
        clock = clock,
    )

    /** Start time of this process in Unix milliseconds. */
    val incarnation: Long = wallMillis()

    /** Runs actions on the event loop. */
    val scheduler = Scheduler { delay, action ->
        loop.schedule(action, delay.inWholeMicroseconds.coerceAtLeast(0), TimeUnit.MICROSECONDS)
    }

    /** Collaborators of the mirrors of the store's objects. */
    val mirrorContext = MirrorContext(store, clock, scheduler, log)

    /** Registration of this daemon. */
    val self = Member(
        name = settings.name,
        incarnation = incarnation,
        zone = settings.zone,
        region = settings.region,
        isEntry = settings.role == NodeRole.ENTRY,
        ip = settings.peerAddress.hostString,
        peerPort = settings.peerAddress.port,
        callers = settings.callerAddress?.let { "${it.hostString}:${it.port}" }.orEmpty(),
        capacity = settings.processorCapacity,
    )

    /** Runs [action] after every [period]; the time that the action takes is not deducted. */
    fun every(period: Duration, action: () -> Unit) {
        scheduler.after(period) {
            action()
            every(period, action)
        }
    }
}
