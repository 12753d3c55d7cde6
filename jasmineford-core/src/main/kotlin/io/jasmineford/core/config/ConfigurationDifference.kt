package io.jasmineford.core.config

/** Paths of the items that differ between [before] and [after], for example `org/routes[chat]`. */
fun changedNames(before: Configuration, after: Configuration): List<String> = buildList {
    for (organisation in (before.organisations.keys + after.organisations.keys).sorted()) {
        val old = before.organisations[organisation] ?: OrganisationConfiguration()
        val new = after.organisations[organisation] ?: OrganisationConfiguration()
        addChanged("$organisation/accounts", old.accounts, new.accounts)
        addChanged("$organisation/keys", old.keys, new.keys)
        addChanged("$organisation/deployments", old.deployments, new.deployments)
        addChanged("$organisation/routes", old.routes, new.routes)
    }
    addChanged("zonesOut", before.serviceState.zonesOut, after.serviceState.zonesOut)
    addChanged("vmsOut", before.serviceState.vmsOut, after.serviceState.vmsOut)
}

private fun <T> MutableList<String>.addChanged(path: String, before: Map<String, T>, after: Map<String, T>) {
    (before.keys + after.keys).sorted().filter { before[it] != after[it] }.forEach { add("$path[$it]") }
}

private fun MutableList<String>.addChanged(path: String, before: Set<String>, after: Set<String>) {
    ((before - after) + (after - before)).sorted().forEach { add("$path[$it]") }
}
