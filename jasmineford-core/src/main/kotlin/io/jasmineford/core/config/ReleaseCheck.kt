package io.jasmineford.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Validates [note] against [current]. Returns the resulting configuration or, if there is any error, all errors. */
fun checkReleaseNote(note: ReleaseNote, current: Configuration): Result<Configuration, List<ReleaseError>> {
    val before = current.organisations[note.organisation] ?: OrganisationConfiguration()
    val errors = mutableListOf<ReleaseError>()
    if (note.buildsOn != current.generation) {
        errors += ReleaseError("buildsOn", "expected ${current.generation}, actual ${note.buildsOn}")
    }
    errors.addNameErrors("organisation", note.organisation)
    if (note.isEmpty) errors += ReleaseError("added", "the note adds, changes and withdraws nothing")
    val after = OrganisationConfiguration(
        accounts = errors.merge("accounts", before.accounts, note, { it.accounts }, { it.accounts }) { it.name },
        keys = errors.merge("keys", before.keys, note, { it.keys }, { it.keys }) { it.name },
        deployments = errors.merge("deployments", before.deployments, note, { it.deployments }, { it.deployments }) {
            it.name
        },
        routes = errors.merge("routes", before.routes, note, { it.routes }, { it.routes }) { it.name },
    )
    errors += itemErrors("added", note.added)
    errors += itemErrors("changed", note.changed)
    errors += referenceErrors(note, after)
    val organisations = current.organisations + (note.organisation to after)
    errors += conflictErrors(note, organisations)
    if (errors.isNotEmpty()) return Err(errors.distinct())
    return Ok(current.copy(generation = current.generation + 1, organisations = organisations))
}

/** Whether the note contains no change. */
private val ReleaseNote.isEmpty: Boolean
    get() = added == ReleaseItems() && changed == ReleaseItems() && withdrawn == WithdrawnNames()

private fun <T> MutableList<ReleaseError>.merge(
    kind: String,
    before: Map<String, T>,
    note: ReleaseNote,
    items: (ReleaseItems) -> List<T>,
    withdrawn: (WithdrawnNames) -> List<String>,
    nameOf: (T) -> String,
): Map<String, T> {
    val removed = withdrawn(note.withdrawn)
    val changed = items(note.changed)
    val added = items(note.added)
    addRepeatedNames(kind, "withdrawn" to removed, "changed" to changed.map(nameOf), "added" to added.map(nameOf))
    for (name in removed.filter { it !in before }) add(ReleaseError("withdrawn.$kind[$name]", "no such name"))
    for (name in changed.map(nameOf).filter { it !in before }) add(ReleaseError("changed.$kind[$name]", "no such name"))
    for (name in added.map(nameOf).filter { it in before }) {
        add(ReleaseError("added.$kind[$name]", "the name exists already"))
    }
    return before - removed.toSet() + (changed + added).associateBy(nameOf)
}

/**
 * Reports names that occur more than once in a note, in one list or in several: the operator's intention is ambiguous.
 */
private fun MutableList<ReleaseError>.addRepeatedNames(kind: String, vararg lists: Pair<String, List<String>>) {
    val uses = lists.flatMap { (list, names) -> names.map { it to list } }.groupBy({ it.first }, { it.second })
    for ((name, places) in uses.filterValues { it.size > 1 }) {
        add(ReleaseError("${places.first()}.$kind[$name]", "the name occurs ${places.size} times: ${places.joinToString()}"))
    }
}

/**
 * References to names that do not exist after the change. The path is that of the note's item that causes the error.
 */
private fun referenceErrors(note: ReleaseNote, after: OrganisationConfiguration): List<ReleaseError> = buildList {
    fun check(item: String, field: String, target: String, exists: Boolean, withdrawn: List<String>, kind: String) {
        if (exists) return
        if (target in withdrawn) add(ReleaseError("withdrawn.$kind[$target]", "still used by $item.$field"))
        pathsOf(note, item).forEach { add(ReleaseError("$it.$field", "no ${kind.removeSuffix("s")} $target")) }
    }
    for (key in after.keys.values) {
        val exists = key.account in after.accounts
        check("keys[${key.name}]", "account", key.account, exists, note.withdrawn.accounts, "accounts")
    }
    for (route in after.routes.values) {
        val item = "routes[${route.name}]"
        val exists = route.deployment in after.deployments
        check(item, "deployment", route.deployment, exists, note.withdrawn.deployments, "deployments")
        for (account in route.accounts) {
            check(item, "accounts", account, account in after.accounts, note.withdrawn.accounts, "accounts")
        }
    }
}

/** Paths at which [item] occurs in the note, for example `added.routes[chat]`. */
private fun pathsOf(note: ReleaseNote, item: String): List<String> = listOf("added" to note.added, "changed" to note.changed)
    .filter { (_, items) ->
        items.keys.any { "keys[${it.name}]" == item } || items.routes.any { "routes[${it.name}]" == item }
    }
    .map { (list, _) -> "$list.$item" }

/** Conflicts with other organisations: the same key, or one address in two availability zones. */
private fun conflictErrors(
    note: ReleaseNote,
    organisations: Map<String, OrganisationConfiguration>,
): List<ReleaseError> = buildList {
    val owners = organisations.flatMap { (name, content) -> content.keys.values.map { it.digest to "$name/keys[${it.name}]" } }
        .groupBy({ it.first }, { it.second })
    for ((list, items) in listOf("added" to note.added, "changed" to note.changed)) {
        for (key in items.keys) {
            val others = owners[key.digest].orEmpty() - "${note.organisation}/keys[${key.name}]"
            if (others.isNotEmpty()) {
                add(ReleaseError("$list.keys[${key.name}].digest", "the same key is ${others.joinToString()}"))
            }
        }
        for (deployment in items.deployments) addZoneConflicts(list, deployment, organisations)
    }
}

/** Reports an address that is in two zones: taking one of the zones out of service would leave it in service. */
private fun MutableList<ReleaseError>.addZoneConflicts(
    list: String,
    deployment: Deployment,
    organisations: Map<String, OrganisationConfiguration>,
) {
    val all = organisations.values.flatMap { it.deployments.values }.flatMap { it.endpoints }
    for (endpoint in deployment.endpoints) {
        val zones = all.filter { it.address == endpoint.address && it.zone != endpoint.zone }.map { it.zone }.distinct()
        if (zones.isNotEmpty()) {
            val path = "$list.deployments[${deployment.name}].endpoints[${endpoint.name}].zone"
            add(ReleaseError(path, "expected ${zones.joinToString()} as elsewhere for ${endpoint.address}, actual ${endpoint.zone}"))
        }
    }
}
