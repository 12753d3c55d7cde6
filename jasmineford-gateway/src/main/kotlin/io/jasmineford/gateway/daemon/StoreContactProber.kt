package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.store.ObjectMirror
import io.jasmineford.gateway.store.StoreContact
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the confirmation of store contact recent with few calls: one leading daemon reads the store, and the others
 * take its confirmation from heartbeats. A daemon that gets no recent confirmation that way reads the store itself.
 */
internal class StoreContactProber(
    private val clock: MonotonicClock,
    private val contact: StoreContact,
    private val configurations: ObjectMirror,
    private val isLeader: () -> Boolean,
    private val isRelay: () -> Boolean,
) {
    private var probedAt = -Duration.INFINITE

    /** Probes the store when the confirmation is too old and the previous probe is not too recent. */
    fun probeIfDue() {
        // The roles are looked up in the peer table, and this runs at each tick.
        val age = contact.age()
        if (age <= LEADER_PROBE_AGE) return
        val limit = when {
            isLeader() -> LEADER_PROBE_AGE
            isRelay() -> FOLLOWER_PROBE_AGE
            else -> LEAF_PROBE_AGE
        }
        val mayProbe = clock.now() - probedAt > MIN_PROBE_INTERVAL
        if (configurations.isLoaded && age > limit && mayProbe) {
            probedAt = clock.now()
            configurations.probe()
        }
    }

    private companion object {
        /** Age of the confirmation at which the leading daemon probes. */
        val LEADER_PROBE_AGE = 1.seconds

        /**
         * Age at which any other daemon probes; the leader's confirmation arrives earlier unless the leader has failed.
         */
        val FOLLOWER_PROBE_AGE = 1700.milliseconds

        /** Age at which a daemon that is not a relay probes; its confirmation has taken one more heartbeat. */
        val LEAF_PROBE_AGE = 2200.milliseconds

        /** Shortest time between probes while the store does not answer. */
        val MIN_PROBE_INTERVAL = 400.milliseconds
    }
}
