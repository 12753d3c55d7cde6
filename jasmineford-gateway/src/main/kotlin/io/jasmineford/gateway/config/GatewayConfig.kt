package io.jasmineford.gateway.config

/** A complete, immutable version of the configuration that operators publish. */
class GatewayConfig(
    val version: Long,
    val routes: List<Route>,
    services: List<Service>,
    accounts: List<ClientAccount>,
    val limits: CallLimits,
) {
    /** Services by name. */
    val services: Map<String, Service> = services.associateBy { it.name }

    /** Accounts by name. */
    val accounts: Map<String, ClientAccount> = accounts.associateBy { it.name }

    /** Whether calls on routes that are not public need a key; without accounts, no call does. */
    val needsKeys: Boolean = accounts.isNotEmpty()

    private val byKey = accounts.flatMap { account -> account.keys.map { it to account } }.toMap()
    private val byHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    /** Account to which [key] belongs; null when there is none. */
    fun accountOf(key: String?): ClientAccount? = byKey[key]

    /** Route of [host] whose path prefix is the longest that matches [path]; a port in [host] is ignored. */
    fun routeOf(host: String, path: String): Route? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
