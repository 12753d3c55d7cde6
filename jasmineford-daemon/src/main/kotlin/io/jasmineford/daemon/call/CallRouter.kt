package io.jasmineford.daemon.call

import com.github.michaelbull.result.getOrElse
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.Route
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.route
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.objective.DecisionStep
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.control.InFlightCall
import io.jasmineford.daemon.control.ShardDriver
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds

/**
 * Resolved target of a call.
 *
 * @property program program that the call belongs to; null when any VM may run the call.
 * @property chat request body of a model call; null for a service call.
 * @property servicePath path and query to request from the service.
 * @property isIdempotent whether the call may run more than once.
 */
internal data class CallTarget(
    val route: Route,
    val deployment: ScopedName,
    val program: ProgramId?,
    val chat: ChatRequest?,
    val servicePath: String,
    val isIdempotent: Boolean,
)

/** Runs a call on this VM, or forwards it to the VM that owns the shard of its program. */
internal class CallRouter(
    private val self: String,
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val membership: Membership,
    private val shardDriver: ShardDriver,
    private val models: ModelCalls,
    private val services: ServiceCalls,
    private val forward: (peerAddress: String, call: Call) -> Flow<CallEvent>,
    private val decisions: DecisionLog,
) {
    /** Returns the whole answer to [call]. */
    fun handle(call: Call): Flow<CallEvent> = flow {
        val target = withContext(control) { resolve(call) }
        when (target) {
            is Resolved.Refused -> emitRefusal(target.refusal)
            is Resolved.Found -> handle(call, target.target)
        }
    }

    private suspend fun FlowCollector<CallEvent>.handle(call: Call, target: CallTarget) {
        call.headerError()?.let { return emitRefusal(Refusal(Reason.BAD_REQUEST, it)) }
        val program = target.program ?: return emitAll(run(call, target))
        while (true) {
            when (val place = withContext(control) { locate(program, call) }) {
                is Place.Local -> {
                    decisions.record(program, DecisionStep.KEPT, "this VM owns the program's shard")
                    return runLocally(call, target, place.inFlight)
                }

                is Place.Remote -> {
                    decisions.record(program, DecisionStep.FORWARDED, "to the shard's owner at ${place.peerAddress}")
                    if (tryForward(place.peerAddress, call)) return
                    decisions.record(program, DecisionStep.RETRIED, "the shard's owner was lost before it answered")
                    delay(LOCATE_RETRY_INTERVAL)
                }

                is Place.Unavailable -> emitRefusal(place.refusal).also { return }
                Place.Pending -> delay(LOCATE_RETRY_INTERVAL)
            }
        }
    }

    private suspend fun FlowCollector<CallEvent>.runLocally(call: Call, target: CallTarget, inFlight: InFlightCall) {
        try {
            emitAll(run(call, target))
        } finally {
            withContext(NonCancellable + control) { inFlight.end() }
        }
    }

    /**
     * Forwards [call]. Returns false when the connection to the shard's owner was lost before the answer began, or when
     * the call did not run because the shard had moved. The call may then be sent again without running twice: a
     * committed turn is recognised by its digest, a call that isn't idempotent by its idempotency key, and a VM that
     * lost the shard can no longer make an intent durable.
     */
    private suspend fun FlowCollector<CallEvent>.tryForward(peerAddress: String, call: Call): Boolean {
        var head: CallEvent.Head? = null
        try {
            var hasShardMoved = false
            forward(peerAddress, call).collect { event ->
                if (event is CallEvent.Head) {
                    hasShardMoved = event.reportsUnreachableOwner() && clock.now() < call.deadline
                    if (!hasShardMoved) head = event
                }
                if (!hasShardMoved) emit(event)
            }
            return !hasShardMoved
        } catch (e: ShardOwnerLostException) {
            val refusal = Refusal(Reason.KEEPER_LOST, e.problem, Outcome.OUTCOME_UNKNOWN)
            val sentHead = head
            when {
                sentHead != null -> refusal.toTrailer(sentHead).forEach { emit(it) }
                clock.now() >= call.deadline -> emitRefusal(refusal)
                else -> return false
            }
            return true
        }
    }

    private fun run(call: Call, target: CallTarget): Flow<CallEvent> =
        if (target.chat != null) models.run(call, target, target.chat) else services.run(call, target)

    private fun locate(program: ProgramId, call: Call): Place {
        val shard = shardDriver.shardOf(program)
        val owner = membership.map.shards.getOrNull(shard)
        val peer = owner?.let { membership.leases()[it.vm]?.identity?.peerAddress }
        return when {
            shardDriver.isServing(shard) -> Place.Local(shardDriver.beginCall(shard))

            clock.now() >= call.deadline -> Place.Unavailable(
                Refusal(Reason.DEADLINE_EXCEEDED, "no VM was serving the program's shard before the deadline"),
            )

            owner != null && owner.vm != self && peer != null && call.hops < MAX_HOPS -> Place.Remote(peer)

            // The shard moved while the call was being forwarded. The VM that sent the call here looks up the owner
            // again; waiting here would last until the deadline.
            owner != null && owner.vm != self && call.hops >= MAX_HOPS -> Place.Unavailable(
                Refusal(Reason.KEEPER_UNREACHABLE, "the program's shard moved after ${call.hops} forwards"),
            )

            else -> Place.Pending
        }
    }

    private fun resolve(call: Call): Resolved {
        val path = call.path.substringBefore('?')
        val isChat = path == CHAT_PATH
        val chat = if (isChat) readChatRequest(call.body).getOrElse { return refused(Reason.BAD_REQUEST, it) } else null
        val parts = path.removePrefix(SERVICE_PREFIX).split('/', limit = 2)
        val name = chat?.model ?: parts.first()
        val route = configuration.current.route(call.account.organisation, name)
            ?: return refused(Reason.UNKNOWN_ROUTE, "no route $name in ${call.account.organisation}")
        if (route.accounts.isNotEmpty() && call.account.name !in route.accounts) {
            return refused(Reason.ROUTE_NOT_ALLOWED, "account ${call.account} may not use route $name")
        }
        val isIdempotent = route.idempotent || call.method in SAFE_METHODS
        val target = CallTarget(
            route = route,
            deployment = ScopedName(call.account.organisation, route.deployment),
            program = programOf(call, isIdempotent),
            chat = chat,
            servicePath = "/" + call.path.removePrefix(SERVICE_PREFIX).removePrefix(name).removePrefix("/"),
            isIdempotent = isIdempotent,
        )
        return Resolved.Found(target)
    }

    /** A call that isn't idempotent and belongs to no program gets one of its own, so that its outcome is recorded. */
    private fun programOf(call: Call, isIdempotent: Boolean): ProgramId? {
        val name = call.header(CallHeaders.PROGRAM)
        val key = call.header(CallHeaders.IDEMPOTENCY_KEY)
        return when {
            name != null -> ProgramId(call.account, name)
            // Slashes separate a program from its sub-agents, so an unescaped slash would name a parent program that
            // doesn't exist.
            !isIdempotent && key != null -> ProgramId(call.account, CALL_PROGRAM_PREFIX + key.replace("/", "%2F"))
            else -> null
        }
    }

    private fun refused(reason: Reason, detail: String) = Resolved.Refused(Refusal(reason, detail))

    private sealed interface Resolved {
        data class Found(val target: CallTarget) : Resolved

        data class Refused(val refusal: Refusal) : Resolved
    }

    private sealed interface Place {
        class Local(val inFlight: InFlightCall) : Place

        data class Remote(val peerAddress: String) : Place

        data class Unavailable(val refusal: Refusal) : Place

        data object Pending : Place
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val SERVICE_PREFIX = "/services/"
        const val CALL_PROGRAM_PREFIX = "call:"
        const val MAX_HOPS = 2
        val SAFE_METHODS = setOf("GET", "HEAD")
        val LOCATE_RETRY_INTERVAL = 20.milliseconds
    }
}

private fun CallEvent.Head.reportsUnreachableOwner(): Boolean =
    headers.any { it.name == CallHeaders.REASON && it.value == Reason.KEEPER_UNREACHABLE.label }

/** Describes the first invalid Jasmineford header of this call, or null when all are valid. */
private fun Call.headerError(): String? {
    val turn = header(CallHeaders.TURN)
    val program = header(CallHeaders.PROGRAM)
    val key = header(CallHeaders.IDEMPOTENCY_KEY)
    return when {
        turn != null && (turn.toIntOrNull() ?: 0) < 1 -> "expected a ${CallHeaders.TURN} of at least 1, actual '$turn'"

        program != null && !PROGRAM_NAME.matches(program) ->
            "expected ${CallHeaders.PROGRAM} names of 1 to 128 printable characters, joined by slashes"

        key != null && key.length !in 1..MAX_KEY_CHARS ->
            "expected an ${CallHeaders.IDEMPOTENCY_KEY} of 1 to $MAX_KEY_CHARS characters, actual ${key.length}"

        else -> null
    }
}

private val PROGRAM_NAME = Regex("[!-.0-~]{1,128}(/[!-.0-~]{1,128}){0,7}")
private const val MAX_KEY_CHARS = 255

/** Emits the whole answer of [refusal]. */
internal suspend fun FlowCollector<CallEvent>.emitRefusal(refusal: Refusal) {
    refusal.toEvents().forEach { emit(it) }
}

/** Refusal of a call that reached an endpoint and failed there. */
internal fun failedRun(reason: Reason, detail: String): Refusal = Refusal(reason, detail, Outcome.FAILED_RUN)
