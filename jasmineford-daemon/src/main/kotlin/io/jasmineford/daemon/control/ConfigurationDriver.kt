package io.jasmineford.daemon.control

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ConfigurationSync
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.PeerView
import io.jasmineford.core.config.SyncAction
import io.jasmineford.daemon.event
import io.jasmineford.daemon.warnEvent
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoredObject
import io.jasmineford.store.describe
import io.jasmineford.store.storeJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends the sender's view of the configuration to a peer and returns the peer's view; null when the peer doesn't reply.
 */
typealias ViewExchange = suspend (peer: FleetMember, view: PeerView) -> PeerView?

/**
 * Runs the store and peer calls that [ConfigurationSync] asks for and passes it the replies.
 * All functions run on the control thread.
 *
 * @param incarnation incarnation of this VM's lease.
 * @param onChange receives each configuration that comes into force on this VM.
 */
class ConfigurationDriver(
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val sync: ConfigurationSync,
    private val exchange: ViewExchange,
    private val incarnation: () -> Long,
    private val onChange: (Configuration) -> Unit,
    private val pollInterval: Duration = 20.milliseconds,
) {
    private val reader = ConfigurationReader(store)
    private var watch: Job? = null

    /** Polls the state machine until the scope is cancelled. */
    fun start() = scope.launch {
        while (true) {
            perform(sync.poll())
            updateWatch()
            delay(pollInterval)
        }
    }

    /** Takes the view that the peer [from] sent and returns this VM's view. */
    fun answer(from: FleetMember, view: PeerView): PeerView {
        val (own, actions) = sync.onExchange(from, view)
        perform(actions)
        return own
    }

    /** Starts [actions] without waiting; their replies go to the state machine. */
    fun perform(actions: List<SyncAction>) {
        actions.forEach { action -> scope.launch { perform(action) } }
    }

    private suspend fun perform(action: SyncAction) {
            when (action) {
                is SyncAction.ReadHead -> perform(sync.onHead(action.askedAt, readHead()))
                is SyncAction.Load -> load(action)
                is SyncAction.ListMembers -> listMembers(action)
                is SyncAction.Exchange -> perform(sync.onReply(action, exchange(action.peer, action.view)))
            }
    }

    private suspend fun readHead(): ConfigurationHead? =
        store.get(CONFIGURATION_HEAD_KEY).map { it?.let(::decodeHead) ?: ConfigurationHead() }.get()

    private suspend fun load(action: SyncAction.Load) {
        reader.read(action.head).fold(
            success = {
                val before = sync.generation
                val actions = sync.onLoaded(it.configuration)
                if (sync.generation > before) {
                    log.event("configuration_in_force", "generation" to sync.generation)
                    onChange(it.configuration)
                }
                perform(actions)
            },
            failure = {
                log.warnEvent("configuration_unreadable", "generation" to action.head.generation, "problem" to it.describe())
            },
        )
    }

    private suspend fun listMembers(action: SyncAction.ListMembers) {
        val leases = readLeases(store).get() ?: return
        sync.onMembers(action.askedAt, leases.filter { !it.isRevoked }.map { it.toMember() }, incarnation())
    }

    private fun updateWatch() {
        val isWanted = sync.isWatcher()
        if (isWanted && watch?.isActive != true) watch = scope.launch { watchHead() }
        if (!isWanted) watch?.cancel()
    }

    /**
     * Watches the head so that a change is noticed before the next poll. Polling alone is sufficient: a watch that
     * repeats old changes or delivers none is harmless.
     */
    private suspend fun watchHead() {
        val revision = store.list(CONFIGURATION_HEAD_KEY, limit = 1).get()?.revision
        if (revision != null) {
            try {
                store.watch(CONFIGURATION_HEAD_KEY, revision).collect { perform(sync.onHint(decodeHead(it.changed))) }
            } catch (e: IOException) {
                log.warnEvent("configuration_watch_broken", "problem" to e.message)
            }
        }
        delay(WATCH_RETRY_DELAY)
    }

    private fun decodeHead(stored: StoredObject): ConfigurationHead = storeJson.decodeFromString(stored.value)

    private companion object {
        val log = KotlinLogging.logger {}
        val WATCH_RETRY_DELAY = 1.seconds
    }
}
