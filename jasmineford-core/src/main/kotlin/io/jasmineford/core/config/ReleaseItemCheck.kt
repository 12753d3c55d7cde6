package io.jasmineford.core.config

import io.jasmineford.core.key.isKeyDigest

/** Errors in single items: names, numbers out of range, addresses and digests. [list] is `added` or `changed`. */
internal fun itemErrors(list: String, items: ReleaseItems): List<ReleaseError> = buildList {
    items.accounts.forEach { addAccountErrors("$list.accounts[${it.name}]", it) }
    items.keys.forEach { addKeyErrors("$list.keys[${it.name}]", it) }
    items.deployments.forEach { addDeploymentErrors("$list.deployments[${it.name}]", it) }
    items.routes.forEach { addRouteErrors("$list.routes[${it.name}]", it) }
}

/** Adds an error unless [value] at [path] is a valid name. */
internal fun MutableList<ReleaseError>.addNameErrors(path: String, value: String) {
    if (!NAME.matches(value)) {
        add(ReleaseError(path, "expected 1 to 63 letters, digits, dots, dashes and underscores, actual '${value.take(NAME_ECHO)}'"))
    }
}

private fun MutableList<ReleaseError>.addAccountErrors(path: String, account: ClientAccount) {
    addNameErrors("$path.name", account.name)
    addRangeErrors("$path.ratePerSecond", account.ratePerSecond, RATE)
    addRangeErrors("$path.burst", account.burst, BURST)
    addRangeErrors("$path.weight", account.weight, WEIGHT)
    addRangeErrors("$path.budget.calls", account.budget.calls, CALLS)
    addRangeErrors("$path.budget.tokens", account.budget.tokens, TOKENS)
    addRangeErrors("$path.budget.wallTimeSeconds", account.budget.wallTimeSeconds, WALL_TIME_SECONDS)
}

private fun MutableList<ReleaseError>.addKeyErrors(path: String, key: AccountKey) {
    addNameErrors("$path.name", key.name)
    if (!key.digest.startsWith(DIGEST_PREFIX) || !isKeyDigest(key.digest.removePrefix(DIGEST_PREFIX))) {
        // The value is not echoed, because an operator may have entered the key itself.
        add(ReleaseError("$path.digest", "expected sha256: and 64 lower-case hexadecimal digits"))
    }
}

private fun MutableList<ReleaseError>.addDeploymentErrors(path: String, deployment: Deployment) {
    addNameErrors("$path.name", deployment.name)
    if (deployment.endpoints.isEmpty()) add(ReleaseError("$path.endpoints", "expected at least 1 endpoint, actual 0"))
    addRangeErrors("$path.minReady", deployment.minReady, 0..deployment.endpoints.size)
    addDuplicateErrors("$path.endpoints", "name", deployment.endpoints.map { it.name })
    addDuplicateErrors("$path.endpoints", "address", deployment.endpoints.map { it.address })
    for (endpoint in deployment.endpoints) {
        val place = "$path.endpoints[${endpoint.name}]"
        addNameErrors("$place.name", endpoint.name)
        addNameErrors("$place.zone", endpoint.zone)
        addRangeErrors("$place.window", endpoint.window, WINDOW)
        if (!isAddress(endpoint.address)) {
            add(ReleaseError("$place.address", "expected host:port with a port of 1 to 65535, actual '${endpoint.address}'"))
        }
    }
}

private fun MutableList<ReleaseError>.addRouteErrors(path: String, route: Route) {
    addNameErrors("$path.name", route.name)
    addRangeErrors("$path.openRatePerSecond", route.openRatePerSecond, RATE)
    addRangeErrors("$path.openBurst", route.openBurst, BURST)
    addDuplicateErrors(path, "accounts", route.accounts)
    if (route.open && route.accounts.isNotEmpty()) {
        add(ReleaseError("$path.accounts", "expected none on an open route, actual ${route.accounts.size}"))
    }
}

private fun MutableList<ReleaseError>.addDuplicateErrors(path: String, field: String, values: List<String>) {
    for ((value, uses) in values.groupBy { it }.filterValues { it.size > 1 }) {
        add(ReleaseError("$path.$field", "$value occurs ${uses.size} times"))
    }
}

private fun <T : Comparable<T>> MutableList<ReleaseError>.addRangeErrors(path: String, value: T, range: ClosedRange<T>) {
    if (value !in range) add(ReleaseError(path, "expected ${range.start} to ${range.endInclusive}, actual $value"))
}

private fun isAddress(text: String): Boolean {
    val port = text.substringAfterLast(':', missingDelimiterValue = "")
    val isHost = HOST.matches(text.substringBeforeLast(':'))
    return isHost && port.all { it in '0'..'9' } && port.toIntOrNull() in PORTS
}

private val NAME = Regex("[A-Za-z0-9._-]{1,63}")
private val HOST = Regex("""[A-Za-z0-9.-]{1,253}|\[[0-9a-fA-F:.]{2,45}]""")
private val PORTS = 1..65_535
private val RATE = 0.01..1_000_000.0
private val BURST = 1.0..1_000_000.0
private val WEIGHT = 0.01..1_000.0
private val CALLS = 1..1_000_000
private val TOKENS = 1L..1_000_000_000L
private val WALL_TIME_SECONDS = 1L..31_536_000L
private val WINDOW = 1..10_000
private const val NAME_ECHO = 80
