package io.jasmineford.daemon.control

import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ConfigurationSync
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.SyncSettings
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.ObjectStore
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope

/**
 * Configuration reader and publisher of one daemon.
 *
 * @param onChange receives each configuration that comes into force on this VM.
 */
class ConfigurationControl(
    self: FleetMember,
    settings: SyncSettings,
    scope: CoroutineScope,
    control: CoroutineDispatcher,
    store: ObjectStore,
    clock: MonotonicClock,
    holder: ConfigurationHolder,
    membership: Membership,
    exchange: ViewExchange,
    newNonce: () -> String,
    onChange: (Configuration) -> Unit,
) {
    private val sync = ConfigurationSync(self, settings, clock, holder)
    private val right = PublishingRight(control, store, sync, exchange, membership::isLeaseValid)

    /** Reads configurations and proves that they are current; used on the control thread. */
    val driver = ConfigurationDriver(
        scope = scope,
        store = store,
        sync = sync,
        exchange = exchange,
        incarnation = { membership.incarnation },
        onChange = onChange,
    )

    val publisher = ConfigurationPublisher(
        store = store,
        newNonce = newNonce,
        right = right,
        headWriter = HeadWriter(scope, store, clock, right, newNonce, { driver.perform(it) }, settings.writeLateness),
    )
}
