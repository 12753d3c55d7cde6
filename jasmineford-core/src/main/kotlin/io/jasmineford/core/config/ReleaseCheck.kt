package io.jasmineford.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.key.isKeyDigest

/**
 * Checks [note] as a whole against [current] and returns the configuration that it leads to, or every error with its
 * path.
 */
fun checkReleaseNote(note: ReleaseNote, current: Configuration): Result<Configuration, List<ReleaseError>> {
    val before = current.organisations[note.organisation] ?: OrganisationConfiguration()
    val errors = mutableListOf<ReleaseError>()
    if (note.buildsOn != current.generation) {
        errors += ReleaseError("buildsOn", "expected ${current.generation}, actual ${note.buildsOn}")
    }
    val after = OrganisationConfiguration(
        accounts = errors.merge("accounts", before.accounts, note, { it.accounts }, { it.accounts }) { it.name },
        keys = errors.merge("keys", before.keys, note, { it.keys }, { it.keys }) { it.name },
        deployments = errors.merge("deployments", before.deployments, note, { it.deployments }, { it.deployments }) {
            it.name
        },
        routes = errors.merge("routes", before.routes, note, { it.routes }, { it.routes }) { it.name },
    )
    errors += referenceErrors(after)
    errors += rangeErrors(after)
    if (errors.isNotEmpty()) return Err(errors)
    val organisations = current.organisations + (note.organisation to after)
    return Ok(current.copy(generation = current.generation + 1, organisations = organisations))
}

private fun <T> MutableList<ReleaseError>.merge(
    kind: String,
    before: Map<String, T>,
    note: ReleaseNote,
    items: (ReleaseItems) -> List<T>,
    withdrawn: (WithdrawnNames) -> List<String>,
    nameOf: (T) -> String,
): Map<String, T> {
    val after = before.toMutableMap()
    for (name in withdrawn(note.withdrawn)) {
        if (after.remove(name) == null) add(ReleaseError("withdrawn.$kind[$name]", "no such name"))
    }
    for (item in items(note.changed)) {
        val name = nameOf(item)
        if (name !in after) add(ReleaseError("changed.$kind[$name]", "no such name"))
        after[name] = item
    }
    for (item in items(note.added)) {
        val name = nameOf(item)
        if (name in after) add(ReleaseError("added.$kind[$name]", "the name exists already"))
        after[name] = item
    }
    return after
}

private fun referenceErrors(content: OrganisationConfiguration): List<ReleaseError> = buildList {
    for (key in content.keys.values) {
        if (key.account !in content.accounts) {
            add(ReleaseError("keys[${key.name}].account", "no account ${key.account}"))
        }
    }
    for (route in content.routes.values) {
        if (route.deployment !in content.deployments) {
            add(ReleaseError("routes[${route.name}].deployment", "no deployment ${route.deployment}"))
        }
        for (account in route.accounts.filter { it !in content.accounts }) {
            add(ReleaseError("routes[${route.name}].accounts", "no account $account"))
        }
    }
}

private fun rangeErrors(content: OrganisationConfiguration): List<ReleaseError> = buildList {
    for (account in content.accounts.values) {
        val path = "accounts[${account.name}]"
        if (account.ratePerSecond !in RATE_RANGE) {
            add(ReleaseError("$path.ratePerSecond", "expected $RATE_RANGE, actual ${account.ratePerSecond}"))
        }
        if (account.burst !in BURST_RANGE) {
            add(ReleaseError("$path.burst", "expected $BURST_RANGE, actual ${account.burst}"))
        }
    }
    for (key in content.keys.values) {
        if (!key.digest.startsWith(DIGEST_PREFIX) || !isKeyDigest(key.digest.removePrefix(DIGEST_PREFIX))) {
            add(ReleaseError("keys[${key.name}].digest", "expected sha256: and 64 lower-case hexadecimal digits"))
        }
    }
    for (deployment in content.deployments.values) {
        for (endpoint in deployment.endpoints.filter { it.window !in WINDOW_RANGE }) {
            val path = "deployments[${deployment.name}].endpoints[${endpoint.name}].window"
            add(ReleaseError(path, "expected $WINDOW_RANGE, actual ${endpoint.window}"))
        }
    }
}

private val RATE_RANGE = 0.01..1_000_000.0
private val BURST_RANGE = 1.0..1_000_000.0
private val WINDOW_RANGE = 1..10_000
