package io.jasmineford.core.config

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/**
 * A change of the configuration as written by an operator: one document for one organisation, so that names of
 * different organisations never mix.
 *
 * @property organisation organisation to which every name in the note belongs.
 * @property buildsOn generation on which the change is based; the note is refused when another one is in force.
 */
@Serializable
data class ReleaseNote(
    val organisation: String,
    val buildsOn: Long,
    val added: ReleaseItems = ReleaseItems(),
    val changed: ReleaseItems = ReleaseItems(),
    val withdrawn: WithdrawnNames = WithdrawnNames(),
)

/** Items that a note adds or changes. A changed item replaces the item of the same name as a whole. */
@Serializable
data class ReleaseItems(
    val accounts: List<ClientAccount> = emptyList(),
    val keys: List<AccountKey> = emptyList(),
    val deployments: List<Deployment> = emptyList(),
    val routes: List<Route> = emptyList(),
)

/** Names that a note withdraws. */
@Serializable
data class WithdrawnNames(
    val accounts: List<String> = emptyList(),
    val keys: List<String> = emptyList(),
    val deployments: List<String> = emptyList(),
    val routes: List<String> = emptyList(),
)

/**
 * A client account with a rate limit over the whole fleet.
 *
 * @property ratePerSecond requests per second over all VMs together.
 * @property burst requests that may exceed the rate at once.
 * @property weight share of endpoint capacity relative to the other accounts.
 * @property budget limits of each program tree of the account.
 */
@Serializable
data class ClientAccount(
    val name: String,
    val ratePerSecond: Double,
    val burst: Double,
    val weight: Double = 1.0,
    val budget: ProgramBudget = ProgramBudget(),
)

/** Limits of one program tree, which is a program with its subprograms. */
@Serializable
data class ProgramBudget(
    val calls: Int = 500,
    val tokens: Long = 2_000_000,
    val wallTimeSeconds: Long = 86_400,
)

/** A key of an account. [digest] is `sha256:` and 64 lower-case hexadecimal digits; the key itself is never stored. */
@Serializable
data class AccountKey(
    val name: String,
    val account: String,
    val digest: String,
)

/** Kind of software that a deployment runs. */
@Serializable
enum class DeploymentKind { MODEL, SERVICE }

/**
 * Endpoints that serve the same model or service.
 *
 * @property minReady number of endpoints that the commands of operators must leave ready.
 */
@Serializable
data class Deployment(
    val name: String,
    val kind: DeploymentKind,
    val endpoints: List<Endpoint>,
    val minReady: Int = 1,
)

/**
 * One server of a deployment.
 *
 * @property address host and port, as `host:port`.
 * @property window largest number of requests in flight over all VMs together.
 * @property checksFencing whether the endpoint refuses requests with an outdated fencing token.
 */
@Serializable
data class Endpoint(
    val name: String,
    val address: String,
    val zone: String,
    val window: Int = 8,
    val checksFencing: Boolean = false,
)

/** Priority of a route's calls at its deployment, highest first. */
@Serializable
enum class Priority { LOOKUP, DRAFT }

/**
 * A route, by whose name callers address a deployment.
 *
 * @property open whether requests need no key; such a route has a rate limit of its own.
 * @property openRatePerSecond requests per second of an open route over all VMs together.
 * @property openBurst requests that may exceed [openRatePerSecond] at once.
 * @property idempotent whether a request may be repeated; GET and HEAD requests always may.
 * @property accounts accounts that may use the route; all accounts of the organisation when empty.
 */
@Serializable
data class Route(
    val name: String,
    val deployment: String,
    val open: Boolean = false,
    val openRatePerSecond: Double = 10.0,
    val openBurst: Double = 20.0,
    val idempotent: Boolean = true,
    val priority: Priority = Priority.DRAFT,
    val accounts: List<String> = emptyList(),
)

/** Parses a note from YAML; the error names the line and the path. */
fun parseReleaseNote(text: String): Result<ReleaseNote, ReleaseError> = try {
    Ok(Yaml.default.decodeFromString(ReleaseNote.serializer(), text))
} catch (e: YamlException) {
    Err(ReleaseError(path = e.path.toHumanReadableString(), problem = "line ${e.line}: ${e.message.lines().first()}"))
}
