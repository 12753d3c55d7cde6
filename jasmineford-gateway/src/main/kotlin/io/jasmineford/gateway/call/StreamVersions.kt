package io.jasmineford.gateway.call

import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.VersionMix
import io.jasmineford.gateway.http.HttpClientConnection
import io.jasmineford.gateway.turn.ProgramKey
import io.jasmineford.gateway.turn.RecordedOrigin
import io.jasmineford.gateway.turn.StreamOrigin
import io.jasmineford.gateway.turn.StreamOrigins

/** Where a stream that a caller takes up again may go on. */
sealed interface StreamContinuation {
    /** At endpoints of [version]; of any version if it is null. */
    data class At(val version: String?) : StreamContinuation

    /** Nowhere, as its version is not known and may be another than that of the endpoints. */
    data object Nowhere : StreamContinuation
}

/**
 * What a call has to know of its earlier sendings, which all have the id of the caller's attempt.
 *
 * @property connections connections that have carried the call.
 */
class EarlierSendings {
    val connections: MutableSet<HttpClientConnection> = HashSet()
    private var origins = 0

    /** The next record of the version at which the call's stream begins. */
    internal fun nextOrigin(version: String) = RecordedOrigin(version, ++origins)
}

/**
 * Keeps streams to the software version that began them, also when callers take them up again at another daemon.
 *
 * Each version is recorded, also while all endpoints have the same one: endpoints of another version may join, and
 * those of this one leave, while the stream runs, and this daemon may learn of it later than others.
 *
 * @param mixOf which versions the registered endpoints of a service have.
 */
class StreamVersions(
    private val origins: StreamOrigins,
    private val mixOf: (service: String) -> VersionMix,
) {
    /**
     * Attempt of [call] at the endpoint of [state], which may begin its stream: the response reaches [handler] once the
     * version is recorded. [isCurrent] tells whether the call still waits for it.
     */
    internal fun attempt(
        call: AdmittedCall,
        state: EndpointState,
        handler: AttemptHandler,
        earlier: EarlierSendings,
        isCurrent: (EndpointAttempt) -> Boolean,
    ): EndpointAttempt {
        if (!call.route.isResumable || isWithoutRecords(call)) {
            return EndpointAttempt(state, handler, earlier.connections)
        }
        lateinit var next: EndpointAttempt
        val recorded = RecordedAttempt(
            handler = handler,
            record = { onDone -> record(call, earlier.nextOrigin(state.endpoint.version), onDone) },
            isCurrent = { isCurrent(next) },
            abort = { next.cancel() },
        )
        next = EndpointAttempt(state, recorded, earlier.connections)
        return next
    }

    private fun record(call: AdmittedCall, origin: RecordedOrigin, onDone: (Boolean) -> Unit) {
        // A stream whose version was not known goes on under the id that its caller names again next time.
        val attempt = call.attributes.resumedAttempt ?: call.attributes.attemptId
        origins.record(keyOf(call, attempt), attempt, origin, onDone)
    }

    /** Determines where [call] may run, which may take up a stream that another attempt began. */
    internal fun find(call: AdmittedCall, onDone: (StreamContinuation) -> Unit) {
        val attempt = call.attributes.resumedAttempt
        if (attempt == null || isWithoutRecords(call)) {
            onDone(StreamContinuation.At(version = null))
            return
        }
        origins.find(keyOf(call, attempt), attempt) { origin -> onDone(continuationOf(call, origin)) }
    }

    private fun continuationOf(call: AdmittedCall, origin: StreamOrigin): StreamContinuation = when (origin) {
        is StreamOrigin.Recorded -> StreamContinuation.At(origin.version)
        // The stream has no event yet, or began at a daemon of a release that did not record every version.
        StreamOrigin.NotRecorded ->
            if (mixOf(call.service.name) == VersionMix.MIXED) {
                StreamContinuation.Nowhere
            } else {
                StreamContinuation.At(version = null)
            }
        // One version may be all that a daemon sees that is cut off, or all that is left of several.
        StreamOrigin.Unknown -> StreamContinuation.Nowhere
    }

    /** Whether no daemons keep records, in a deployment whose endpoints have had one version for some time. */
    private fun isWithoutRecords(call: AdmittedCall) =
        !origins.isKept && mixOf(call.service.name) == VersionMix.SINGLE

    private fun keyOf(call: AdmittedCall, attempt: String) =
        ProgramKey(call.accountName, call.attributes.program ?: attempt)
}
