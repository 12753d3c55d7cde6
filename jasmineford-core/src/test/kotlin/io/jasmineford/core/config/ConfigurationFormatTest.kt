package io.jasmineford.core.config

import com.github.michaelbull.result.get
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a renamed property or enum constant of release notes and stored configurations: decoders that ignore
 * unknown keys would lose its value silently.
 */
class ConfigurationFormatTest {
    private val digest = "sha256:" + "a".repeat(64)
    private val account = ClientAccount("shop", 10.5, 5.5, 2.5, ProgramBudget(7, 8, 9))
    private val key = AccountKey("main", "shop", digest)
    private val endpoint = Endpoint("e1", "127.0.0.1:9000", "ub-a", 3, true)
    private val deployments = listOf(
        Deployment("engines", DeploymentKind.MODEL, listOf(endpoint), 2),
        Deployment("tools", DeploymentKind.SERVICE, listOf(endpoint), 2),
    )
    private val routes = listOf(
        Route("chat", "engines", true, 1.5, 2.5, false, Priority.LOOKUP, listOf("shop")),
        Route("draft", "tools", true, 1.5, 2.5, false, Priority.DRAFT, listOf("shop")),
    )
    private val names = WithdrawnNames(listOf("a"), listOf("k"), listOf("d"), listOf("r"))
    private val items = ReleaseItems(listOf(account), listOf(key), deployments, routes)
    private val note = ReleaseNote("org", 4, items, items, names)

    private val accountText = """{"name":"shop","ratePerSecond":10.5,"burst":5.5,"weight":2.5,""" +
        """"budget":{"calls":7,"tokens":8,"wallTimeSeconds":9}}"""
    private val keyText = """{"name":"main","account":"shop","digest":"$digest"}"""
    private val endpointText =
        """{"name":"e1","address":"127.0.0.1:9000","zone":"ub-a","window":3,"checksFencing":true}"""
    private val modelText = """{"name":"engines","kind":"MODEL","endpoints":[$endpointText],"minReady":2}"""
    private val serviceText = """{"name":"tools","kind":"SERVICE","endpoints":[$endpointText],"minReady":2}"""
    private val lookupText = """{"name":"chat","deployment":"engines","open":true,"openRatePerSecond":1.5,""" +
        """"openBurst":2.5,"idempotent":false,"priority":"LOOKUP","accounts":["shop"]}"""
    private val routeDefaults = """"open":true,"openRatePerSecond":1.5,"openBurst":2.5,"idempotent":false"""

    /** The text leaves out values that equal their defaults, as DRAFT does. */
    private val draftText = """{"name":"draft","deployment":"tools",$routeDefaults,"accounts":["shop"]}"""

    private val content = OrganisationConfiguration(
        mapOf("shop" to account),
        mapOf("main" to key),
        deployments.associateBy { it.name },
        routes.associateBy { it.name },
    )
    private val contentText = """{"accounts":{"shop":$accountText},"keys":{"main":$keyText},""" +
        """"deployments":{"engines":$modelText,"tools":$serviceText},""" +
        """"routes":{"chat":$lookupText,"draft":$draftText}}"""
    private val state = ServiceState(setOf("ub-a"), setOf("vm-1"))
    private val stateText = """{"zonesOut":["ub-a"],"vmsOut":["vm-1"]}"""

    @Test
    fun `the JSON text of a release note is fixed`() {
        val itemsText = """{"accounts":[$accountText],"keys":[$keyText],"deployments":[$modelText,$serviceText],""" +
            """"routes":[$lookupText,$draftText]}"""
        val text = """{"organisation":"org","buildsOn":4,"added":$itemsText,"changed":$itemsText,""" +
            """"withdrawn":{"accounts":["a"],"keys":["k"],"deployments":["d"],"routes":["r"]}}"""
        assertEquals(text, Json.encodeToString(note))
        assertEquals(note, Json.decodeFromString<ReleaseNote>(text))
    }

    @Test
    fun `the YAML text of a release note is read in full`() {
        assertEquals(note, parseReleaseNote(NOTE.replace("DIGEST", digest)).get())
    }

    @Test
    fun `the text of the head is fixed`() {
        val text = """{"generation":5,"index":"config/index/5-ab"}"""
        val head = ConfigurationHead(5, "config/index/5-ab")
        assertEquals("config/head", CONFIGURATION_HEAD_KEY)
        assertEquals(text, Json.encodeToString(head))
        assertEquals(head, Json.decodeFromString<ConfigurationHead>(text))
    }

    @Test
    fun `the text of an index is fixed`() {
        val change = AcceptedChange(5, "0123", listOf("org/keys[main]"), listOf("config/pieces/1-cd"))
        val index = ConfigurationIndex(5, listOf("config/pieces/5-ab"), state, listOf(change))
        val text = """{"generation":5,"pieces":["config/pieces/5-ab"],"serviceState":$stateText,""" +
            """"recent":[{"generation":5,"request":"0123","names":["org/keys[main]"],""" +
            """"dropped":["config/pieces/1-cd"]}]}"""
        assertEquals(text, Json.encodeToString(index))
        assertEquals(index, Json.decodeFromString<ConfigurationIndex>(text))
    }

    @Test
    fun `the text of a piece is fixed`() {
        val piece = ConfigurationPiece("org", content)
        val text = """{"organisation":"org","content":$contentText}"""
        assertEquals(text, Json.encodeToString(piece))
        assertEquals(piece, Json.decodeFromString<ConfigurationPiece>(text))
    }

    @Test
    fun `the text of a configuration is fixed`() {
        val configuration = Configuration(5, mapOf("org" to content), state)
        val text = """{"generation":5,"organisations":{"org":$contentText},"serviceState":$stateText}"""
        assertEquals(text, Json.encodeToString(configuration))
        assertEquals(configuration, Json.decodeFromString<Configuration>(text))
    }

    @Test
    fun `keys of the objects of a publication are fixed`() {
        val after = Configuration(6, mapOf("org" to OrganisationConfiguration(keys = mapOf("main" to key))))
        val encoded = encodeConfiguration(after, ConfigurationIndex(), "0123", listOf("org/keys[main]"))
        val expected = listOf("config/pieces/6-", "config/index/6-")
        assertEquals(expected, encoded.written.keys.map { it.dropLast(16) })
        assertEquals(encoded.written.keys.last(), encoded.head.index)
        assertEquals("2cf24dba5fb0a30e", requestDigest("hello"))
    }

    private companion object {
        val ITEMS = """
            |  accounts:
            |    - name: shop
            |      ratePerSecond: 10.5
            |      burst: 5.5
            |      weight: 2.5
            |      budget: {calls: 7, tokens: 8, wallTimeSeconds: 9}
            |  keys:
            |    - {name: main, account: shop, digest: "DIGEST"}
            |  deployments:
            |    - name: engines
            |      kind: MODEL
            |      endpoints: [{name: e1, address: "127.0.0.1:9000", zone: ub-a, window: 3, checksFencing: true}]
            |      minReady: 2
            |    - name: tools
            |      kind: SERVICE
            |      endpoints: [{name: e1, address: "127.0.0.1:9000", zone: ub-a, window: 3, checksFencing: true}]
            |      minReady: 2
            |  routes:
            |    - name: chat
            |      deployment: engines
            |      open: true
            |      openRatePerSecond: 1.5
            |      openBurst: 2.5
            |      idempotent: false
            |      priority: LOOKUP
            |      accounts: [shop]
            |    - name: draft
            |      deployment: tools
            |      open: true
            |      openRatePerSecond: 1.5
            |      openBurst: 2.5
            |      idempotent: false
            |      priority: DRAFT
            |      accounts: [shop]
        """.trimMargin()

        val NOTE = "organisation: org\nbuildsOn: 4\nadded:\n$ITEMS\nchanged:\n$ITEMS\n" +
            "withdrawn: {accounts: [a], keys: [k], deployments: [d], routes: [r]}\n"
    }
}
