package io.jasmineford.daemon.limit

import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.account
import io.jasmineford.core.limit.AccountRate

/** Prefix of the account name under which all callers of an open route share its rate. */
internal const val OPEN_ROUTE_PREFIX: String = "open:"

/**
 * Rate and burst of the account [name], which may stand for an open route; 1 request per second for an unknown name.
 */
internal fun Configuration.rateOf(name: ScopedName): AccountRate {
    val account = account(name)
    if (account != null) return AccountRate(account.ratePerSecond, account.burst)
    val route = organisations[name.organisation]?.routes?.get(name.name.removePrefix(OPEN_ROUTE_PREFIX))
    return AccountRate(route?.openRatePerSecond ?: 1.0, route?.openBurst ?: 1.0)
}
