package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.AdmittedCall
import io.jasmineford.gateway.call.CallServices
import io.jasmineford.gateway.call.ProxyCall
import io.jasmineford.gateway.http.CallerExchange

/** The calls of a daemon that have no complete answer yet. */
internal class OpenCalls(private val services: CallServices) {
    private val calls = LinkedHashSet<ProxyCall>()

    /** Starts [call], whose answer goes to [exchange]. */
    fun start(call: AdmittedCall, exchange: CallerExchange) {
        lateinit var next: ProxyCall
        next = ProxyCall(call, exchange, services) { calls.remove(next) }
        calls.add(next)
        next.start()
    }

    /** Sends no call to an endpoint from now on, and refuses those that were never sent. */
    fun stopSending() = calls.toList().forEach { it.end(REASON, isUnsentOnly = true) }

    /** Ends all calls. */
    fun end() = calls.toList().forEach { it.end(REASON) }

    private companion object {
        const val REASON = "stopping"
    }
}
