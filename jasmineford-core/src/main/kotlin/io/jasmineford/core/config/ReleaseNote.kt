package io.jasmineford.core.config

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/**
 * A change of configuration as an operator states it.
 *
 * @property organisation scope of every name in the note.
 * @property buildsOn generation that the operator saw; the note is refused when another one is in force.
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
 * A tenant with a fleet-wide rate.
 *
 * @property ratePerSecond requests a second over all VMs together.
 * @property burst requests above the rate that may come at once.
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

/** Limits of one program tree. */
@Serializable
data class ProgramBudget(
    val calls: Int = 500,
    val tokens: Long = 2_000_000,
    val wallTimeSeconds: Long = 86_400,
)

/** A key of an account. [digest] is `sha256:` and 64 hexadecimal digits; the key itself is never stored. */
@Serializable
data class AccountKey(
    val name: String,
    val account: String,
    val digest: String,
)

/** What a deployment runs. */
@Serializable
enum class DeploymentKind { MODEL, SERVICE }

/**
 * Back ends that serve the same model or service.
 *
 * @property minReady endpoints that commands must leave ready.
 */
@Serializable
data class Deployment(
    val name: String,
    val kind: DeploymentKind,
    val endpoints: List<Endpoint>,
    val minReady: Int = 1,
)

/**
 * One back end.
 *
 * @property address host and port.
 * @property window most requests in flight over all VMs together.
 * @property checksFencing whether the endpoint refuses commands with an old fencing token.
 */
@Serializable
data class Endpoint(
    val name: String,
    val address: String,
    val zone: String,
    val window: Int = 8,
    val checksFencing: Boolean = false,
)

/** Order of a route's work at its deployment. */
@Serializable
enum class Priority { LOOKUP, DRAFT }

/**
 * A name that callers use.
 *
 * @property open whether requests need no key; such a route has its own [openRatePerSecond] and [openBurst].
 * @property idempotent whether a request may be repeated; GET and HEAD always may.
 * @property accounts accounts that may use the route; empty means all of the organisation.
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

/** Reads a note; the error is one line with the place in the text. */
fun parseReleaseNote(text: String): Result<ReleaseNote, ReleaseError> = try {
    Ok(Yaml.default.decodeFromString(ReleaseNote.serializer(), text))
} catch (e: YamlException) {
    Err(ReleaseError(path = e.path.toHumanReadableString(), problem = "line ${e.line}: ${e.message.lines().first()}"))
}
