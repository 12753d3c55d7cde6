package io.jasmineford.core.config

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Guards against a release note that is accepted partially or with an error, or refused without a report of every
 * error.
 */
class ReleaseCheckTest {
    private val account = ClientAccount("shop", ratePerSecond = 10.0, burst = 5.0)
    private val key = AccountKey("main", "shop", "sha256:" + "a".repeat(64))
    private val endpoint = Endpoint("e1", "127.0.0.1:9000", "ub-a")
    private val deployment = Deployment("engines", DeploymentKind.MODEL, listOf(endpoint))
    private val route = Route("chat", "engines", accounts = listOf("shop"))
    private val items = ReleaseItems(listOf(account), listOf(key), listOf(deployment), listOf(route))
    private val base = checkReleaseNote(ReleaseNote("org", 0, added = items), Configuration()).getOrElse { error(it) }

    @Test
    fun `every error is reported with its path`() {
        for ((path, note) in invalidNotes()) {
            val errors = checkReleaseNote(note, base).getError().orEmpty()
            assertEquals(listOf(path), errors.map { it.path }, "expected one error at $path, actual $errors")
        }
    }

    @Test
    fun `all errors of a note are reported together`() {
        val random = Random(seed = 7)
        repeat(500) { round ->
            // Errors of different items must not hide each other; each item has at most one here.
            val chosen = invalidItems().shuffled(random).distinctBy { it.first.substringBefore(']') }.take(4)
            val added = chosen.map { it.second }.reduce { a, b ->
                ReleaseItems(a.accounts + b.accounts, a.keys + b.keys, a.deployments + b.deployments, a.routes + b.routes)
            }
            val errors = checkReleaseNote(ReleaseNote("other", 1, added = added), base).getError().orEmpty()
            val missing = chosen.map { it.first } - errors.map { it.path }.toSet()
            assertEquals(emptyList(), missing, "round $round: expected these paths too, actual $errors")
        }
    }

    @Test
    fun `two organisations may use the same names and a note changes only its own organisation`() {
        val digest = "sha256:" + "b".repeat(64)
        val same = items.copy(keys = listOf(key.copy(digest = digest)))
        val both = assertNotNull(checkReleaseNote(ReleaseNote("other", 1, added = same), base).get())
        assertEquals(base.organisations["org"], both.organisations["org"])
        val all = WithdrawnNames(listOf("shop"), listOf("main"), listOf("engines"), listOf("chat"))
        val left = assertNotNull(checkReleaseNote(ReleaseNote("org", 2, withdrawn = all), both).get())
        assertEquals(both.organisations["other"], left.organisations["other"])
        assertEquals(listOf("org/accounts[shop]", "org/keys[main]", "org/deployments[engines]", "org/routes[chat]"), changedNames(both, left))
    }

    @Test
    fun `the error of an unreadable note names the line and the path`() {
        val text = "organisation: org\nbuildsOn: 0\nadded:\n  accounts:\n    - name: a\n      rate: 3\n"
        val error = assertNotNull(parseReleaseNote(text).getError())
        assertTrue("line" in error.problem && "accounts" in error.path, "expected path and line, actual $error")
        val two = "organisation: a\nbuildsOn: 0\n---\norganisation: b\nbuildsOn: 0\n"
        assertTrue(parseReleaseNote(two).fold(success = { false }, failure = { true }), "expected two documents to be refused")
    }

    @Test
    fun `unchanged pieces keep their keys and the pieces decode to the same configuration`() {
        var index = ConfigurationIndex()
        var current = Configuration()
        val stored = HashMap<String, String>()
        val random = Random(seed = 3)
        repeat(300) { round ->
            val name = "a${random.nextInt(400)}"
            val accounts = current.organisations["org"]?.accounts.orEmpty() + (name to account.copy(name = name, burst = round + 1.0))
            val after = Configuration(current.generation + 1, mapOf("org" to OrganisationConfiguration(accounts = accounts)))
            val encoded = encodeConfiguration(after, index, request = "r$round", names = changedNames(current, after))
            stored += encoded.written
            stored.keys -= encoded.expired.toSet()
            val pieces = encoded.index.pieces.map { kotlinx.serialization.json.Json.decodeFromString<ConfigurationPiece>(stored.getValue(it)) }
            assertEquals(after, decodeConfiguration(encoded.index, pieces), "expected the same configuration in round $round")
            index = encoded.index
            current = after
        }
        val last = current.copy(generation = current.generation + 1, serviceState = ServiceState(zonesOut = setOf("ub-a")))
        assertEquals(1, encodeConfiguration(last, index, "r", emptyList()).written.size, "expected only a new index")
    }

    private fun invalidNotes(): List<Pair<String, ReleaseNote>> = invalidItems().map { (path, items) ->
        path to ReleaseNote("other", 1, added = items)
    } + listOf(
        "buildsOn" to ReleaseNote("org", 0, changed = ReleaseItems(listOf(account))),
        "organisation" to ReleaseNote("a/b", 1, added = ReleaseItems(listOf(account))),
        "added" to ReleaseNote("org", 1),
        "added.accounts[shop]" to ReleaseNote("org", 1, added = ReleaseItems(listOf(account))),
        "changed.accounts[none]" to ReleaseNote("org", 1, changed = ReleaseItems(listOf(account.copy(name = "none")))),
        "withdrawn.routes[none]" to ReleaseNote("org", 1, withdrawn = WithdrawnNames(routes = listOf("none"))),
        "withdrawn.keys[main]" to ReleaseNote("org", 1, withdrawn = WithdrawnNames(keys = listOf("main", "main"))),
        "withdrawn.routes[chat]" to
            ReleaseNote("org", 1, changed = ReleaseItems(routes = listOf(route)), withdrawn = WithdrawnNames(routes = listOf("chat"))),
        "withdrawn.deployments[engines]" to ReleaseNote("org", 1, withdrawn = WithdrawnNames(deployments = listOf("engines"))),
        "withdrawn.accounts[shop]" to ReleaseNote(
            "org",
            1,
            changed = ReleaseItems(routes = listOf(route.copy(accounts = emptyList()))),
            withdrawn = WithdrawnNames(accounts = listOf("shop")),
        ),
        "changed.routes[chat].deployment" to
            ReleaseNote("org", 1, changed = ReleaseItems(routes = listOf(route.copy(deployment = "none")))),
        "added.keys[main].digest" to ReleaseNote("other", 1, added = ReleaseItems(listOf(account), listOf(key))),
        "added.deployments[engines].endpoints[e1].zone" to ReleaseNote(
            "other",
            1,
            added = ReleaseItems(deployments = listOf(deployment.copy(endpoints = listOf(endpoint.copy(zone = "ub-b"))))),
        ),
    )

    private fun invalidItems(): List<Pair<String, ReleaseItems>> = invalidAccounts() + invalidDeployments() + listOf(
        "added.keys[k].account" to ReleaseItems(keys = listOf(AccountKey("k", "nobody", "sha256:" + "c".repeat(64)))),
        "added.routes[r].deployment" to ReleaseItems(routes = listOf(Route("r", "nothing"))),
        "added.routes[q].openRatePerSecond" to routes(Route("q", "d0", open = true, openRatePerSecond = 0.0)),
        "added.routes[p].openBurst" to routes(Route("p", "d0", open = true, openBurst = 2e6)),
    )

    private fun routes(route: Route) = ReleaseItems(
        deployments = listOf(Deployment("d0", DeploymentKind.SERVICE, listOf(endpoint))),
        routes = listOf(route),
    ).let { if (route.name == "q") it else it.copy(deployments = listOf(it.deployments[0].copy(name = "d1")), routes = listOf(route.copy(deployment = "d1"))) }

    private fun invalidAccounts(): List<Pair<String, ReleaseItems>> = listOf(
        "ratePerSecond" to account.copy(ratePerSecond = Double.NaN),
        "burst" to account.copy(burst = 0.5),
        "weight" to account.copy(weight = -1.0),
        "budget.calls" to account.copy(budget = ProgramBudget(calls = 0)),
        "budget.tokens" to account.copy(budget = ProgramBudget(tokens = -1)),
        "budget.wallTimeSeconds" to account.copy(budget = ProgramBudget(wallTimeSeconds = Long.MAX_VALUE)),
    ).mapIndexed { index, (field, item) ->
        "added.accounts[x$index].$field" to ReleaseItems(listOf(item.copy(name = "x$index")))
    } + ("added.accounts[open:x].name" to ReleaseItems(listOf(account.copy(name = "open:x"))))

    private fun invalidDeployments(): List<Pair<String, ReleaseItems>> = listOf(
        "minReady" to deployment.copy(minReady = 2),
        "endpoints" to deployment.copy(endpoints = emptyList(), minReady = 0),
        "endpoints.name" to deployment.copy(endpoints = listOf(endpoint, endpoint.copy(address = "127.0.0.1:1"))),
        "endpoints.address" to deployment.copy(endpoints = listOf(endpoint, endpoint.copy(name = "e2"))),
        "endpoints[e1].window" to deployment.copy(endpoints = listOf(endpoint.copy(window = 0))),
        "endpoints[e1].address" to deployment.copy(endpoints = listOf(endpoint.copy(address = "127.0.0.1:70000"))),
        "endpoints[e1].zone" to deployment.copy(endpoints = listOf(endpoint.copy(address = "127.0.0.1:2", zone = ""))),
    ).mapIndexed { index, (field, item) ->
        "added.deployments[y$index].$field" to ReleaseItems(deployments = listOf(item.copy(name = "y$index")))
    }
}
