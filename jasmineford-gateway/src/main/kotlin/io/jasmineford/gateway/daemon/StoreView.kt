package io.jasmineford.gateway.daemon

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.store.MirrorContext
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectMirror
import io.jasmineford.gateway.store.StoreContact
import io.jasmineford.gateway.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An entry daemon's view of the platform's store: configuration, endpoints and evacuated zones.
 *
 * @param onEndpoints called with all endpoints that can be decoded, after each change.
 * @param onEvacuations called with the evacuated zones, whose endpoints get no calls.
 * @param batchTime time for which changes gather, of which the shortest is given, by the size of the fleet.
 */
internal class StoreView(
    private val node: NodeRuntime,
    private val onEndpoints: (List<Endpoint>) -> Unit,
    private val onEvacuations: (Set<String>) -> Unit,
    private val batchTime: (Duration) -> Duration,
) {
    /** Age of the latest confirmed contact with the store. */
    val contact = StoreContact(node.clock, node.wallMillis)

    /** Configuration in force; null before it is known. */
    var config: GatewayConfig? = null
        private set

    /** Mirror of the configuration. */
    val configurations = mirror(ObjectKind.CONFIGURATION, onContact = contact::confirm) { applyConfiguration(it) }
    private val endpoints = mirror(
        kind = ObjectKind.ENDPOINT,
        removalGrace = ENDPOINT_REMOVAL_GRACE,
        context = node.mirrorContext.copy(watchPause = { batchTime(ENDPOINT_BATCH_TIME) }),
    ) { applyEndpoints(it) }
    private val evacuations = mirror(ObjectKind.EVACUATION) { objects ->
        node.log.event("evacuations-changed", "zones" to objects.joinToString(",") { it.name })
        onEvacuations(objects.map { it.name }.toSet())
    }

    /**
     * Whether everything needed to serve is loaded and the contact with the store is recent enough to attract callers.
     */
    val isReadyToServe: Boolean
        get() = config != null && endpoints.isLoaded && evacuations.isLoaded &&
            contact.age() < MAX_READY_CONTACT_AGE &&
            (configurations.outageDuration() ?: Duration.ZERO) < MAX_READY_OUTAGE

    /** Starts the mirrors. */
    fun start() {
        configurations.start()
        endpoints.start()
        evacuations.start()
    }

    private fun mirror(
        kind: ObjectKind,
        removalGrace: Duration = Duration.ZERO,
        context: MirrorContext = node.mirrorContext,
        onContact: (Duration) -> Unit = {},
        onChange: (Collection<StoredObject>) -> Unit,
    ) = ObjectMirror(
        kind = kind,
        context = context.copy(wasInContact = { contact.age() < MAX_READY_CONTACT_AGE }),
        watchWait = Membership.WATCH_WAIT,
        removalGrace = removalGrace,
        onContact = onContact,
        onChange = onChange,
    )

    private fun applyConfiguration(objects: Collection<StoredObject>) {
        val stored = objects.firstOrNull { it.name == MAIN_CONFIGURATION } ?: return
        node.decoder.configuration(stored)
            .onOk { next -> if (next.version >= (config?.version ?: -1)) putInForce(next, stored.revision) }
            .onErr {
                val inForce = config?.version
                node.log.event(
                    "configuration-unreadable",
                    "revision" to stored.revision,
                    "reason" to it,
                    "in_force" to inForce,
                )
            }
    }

    private fun putInForce(next: GatewayConfig, revision: Long) {
        config = next
        node.log.event("configuration-applied", "version" to next.version, "revision" to revision)
    }

    private fun applyEndpoints(objects: Collection<StoredObject>) {
        val known = ArrayList<Endpoint>()
        objects.forEach { stored ->
            node.decoder.endpoint(stored).onOk(known::add).onErr {
                val revision = stored.revision
                node.log.event("endpoint-unreadable", "object" to stored.name, "revision" to revision, "reason" to it)
            }
        }
        node.log.event("endpoints-changed", "count" to known.size, "draining" to known.count { it.isDraining })
        onEndpoints(known)
    }

    private companion object {
        const val MAIN_CONFIGURATION = "main"

        /** Time within which endpoints renew registrations that expired during a store outage. */
        val ENDPOINT_REMOVAL_GRACE = 2200.milliseconds

        /**
         * Shortest time between a change of the endpoints and the next watch. It is short relative to the time within
         * which a drain must be followed, and one watch reads the changes of many endpoints.
         */
        val ENDPOINT_BATCH_TIME = 300.milliseconds

        /**
         * Age of the store contact from which this daemon is not ready, so that callers use others. A store that has
         * not answered for that long may have been down.
         */
        val MAX_READY_CONTACT_AGE = 2500.milliseconds

        /** Duration of failing store calls from which this daemon is not ready; shorter failures are transient. */
        val MAX_READY_OUTAGE = 1200.milliseconds
    }
}
