package io.jasmineford.core.config

import io.jasmineford.core.key.KeyDigest
import io.jasmineford.core.key.KeyIndex
import kotlinx.serialization.Serializable

/** A name qualified by its organisation, because different organisations may use the same name for different items. */
@Serializable
data class ScopedName(
    val organisation: String,
    val name: String,
) {
    override fun toString(): String = "$organisation/$name"
}

/** Configuration of one organisation: its items by name. */
@Serializable
data class OrganisationConfiguration(
    val accounts: Map<String, ClientAccount> = emptyMap(),
    val keys: Map<String, AccountKey> = emptyMap(),
    val deployments: Map<String, Deployment> = emptyMap(),
    val routes: Map<String, Route> = emptyMap(),
)

/** VMs and zones that operators have taken out of service. */
@Serializable
data class ServiceState(
    val zonesOut: Set<String> = emptySet(),
    val vmsOut: Set<String> = emptySet(),
)

/** Whether [vm] in [zone] is out of service, alone or with its zone. */
fun ServiceState.isOut(vm: String, zone: String): Boolean = vm in vmsOut || zone in zonesOut

/** An immutable configuration, which applies as a whole. [generation] rises by one with each accepted change. */
@Serializable
data class Configuration(
    val generation: Long = 0,
    val organisations: Map<String, OrganisationConfiguration> = emptyMap(),
    val serviceState: ServiceState = ServiceState(),
) {
    private val keyIndex: KeyIndex by lazy { KeyIndex(organisations.flatMap { (name, content) -> content.digests(name) }) }

    /** Account of the key with [digest], or null. */
    fun accountOf(digest: KeyDigest): ScopedName? = keyIndex.accountOf(digest)
}

private fun OrganisationConfiguration.digests(organisation: String): List<Pair<KeyDigest, ScopedName>> =
    keys.values.map { KeyDigest(it.digest.removePrefix(DIGEST_PREFIX)) to ScopedName(organisation, it.account) }

/** The route [name] of [organisation], or null. */
fun Configuration.route(organisation: String, name: String): Route? = organisations[organisation]?.routes?.get(name)

/** The account [name], or null. */
fun Configuration.account(name: ScopedName): ClientAccount? =
    organisations[name.organisation]?.accounts?.get(name.name)

/** The deployment [name] of [organisation], or null. */
fun Configuration.deployment(organisation: String, name: String): Deployment? =
    organisations[organisation]?.deployments?.get(name)

/** Prefix of [AccountKey.digest]. */
const val DIGEST_PREFIX: String = "sha256:"
