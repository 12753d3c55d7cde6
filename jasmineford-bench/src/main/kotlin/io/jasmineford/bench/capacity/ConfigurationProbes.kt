package io.jasmineford.bench.capacity

import io.jasmineford.core.config.AccountKey
import io.jasmineford.core.config.ClientAccount
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationIndex
import io.jasmineford.core.config.ConfigurationPiece
import io.jasmineford.core.config.EncodedConfiguration
import io.jasmineford.core.config.OrganisationConfiguration
import io.jasmineford.core.config.decodeConfiguration
import io.jasmineford.core.config.encodeConfiguration
import io.jasmineford.core.key.digestOfKey
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.microseconds

private fun configuration(accounts: Int): Configuration {
    val names = (0 until accounts).map { "account-$it" }
    val keys = names.flatMap { name ->
        (1..KEYS_PER_ACCOUNT).map { AccountKey("$name-$it", name, "sha256:" + digestOfKey("$name-$it").hex) }
    }
    val organisation = OrganisationConfiguration(
        accounts = names.associateWith { ClientAccount(it, ratePerSecond = 10.0, burst = 20.0) },
        keys = keys.associateBy { it.name },
    )
    return Configuration(generation = 1, organisations = mapOf(ORGANISATION to organisation))
}

/** Publication of a change to one account in a configuration with the given number of accounts. */
private class AccountChange(accounts: Int) {
    private val before = configuration(accounts)
    private val first = encodeConfiguration(before, ConfigurationIndex(), "r1", listOf("all"))
    private val change: EncodedConfiguration

    init {
        val content = before.organisations.getValue(ORGANISATION)
        val account = ClientAccount("account-7", ratePerSecond = 20.0, burst = 20.0)
        val changed = content.copy(accounts = content.accounts + (account.name to account))
        val after = before.copy(generation = 2, organisations = mapOf(ORGANISATION to changed))
        change = encodeConfiguration(after, first.index, "r2", listOf("account-7"))
    }

    val wholeBytes = first.written.values.sumOf { it.length }
    val changeBytes = change.written.values.sumOf { it.length }

    /** Decodes the change as a daemon does that already has the unchanged pieces. */
    fun apply() {
        val index = Json.decodeFromString<ConfigurationIndex>(change.written.getValue(change.head.index))
        val new = change.written.filterKeys { it != change.head.index }.mapValues { decode(it.value) }
        decodeConfiguration(index, index.pieces.map { new[it] ?: oldPieces.getValue(it) })
    }

    private val oldPieces = first.written.filterKeys { it != first.head.index }.mapValues { decode(it.value) }

    private fun decode(text: String) = Json.decodeFromString<ConfigurationPiece>(text)
}

/** Sizes of the configuration and of one change, and CPU time to apply a change and to look up a key, by accounts. */
internal fun configurationProbes(): List<CapacityProbe> = listOf(
    CapacityProbe("configuration-size", "bytes", "account", ACCOUNTS, DESIGN_ACCOUNTS) { AccountChange(it).wholeBytes.toDouble() },
    CapacityProbe("configuration-change-size", "bytes a change", "account", ACCOUNTS, DESIGN_ACCOUNTS) {
        AccountChange(it).changeBytes.toDouble()
    },
    CapacityProbe("configuration-change-cpu", "us a change", "account", ACCOUNTS, DESIGN_ACCOUNTS) { size ->
        val change = AccountChange(size)
        repeat(REPEATS) { change.apply() }
        cpuTime { repeat(REPEATS) { change.apply() } } / 1.microseconds / REPEATS
    },
    CapacityProbe("key-lookup-cpu", "us a request", "account", ACCOUNTS, DESIGN_ACCOUNTS) { size ->
        val current = configuration(size)
        val digest = digestOfKey("account-7-1")
        repeat(REPEATS) { current.accountOf(digest) }
        cpuTime { repeat(REPEATS) { current.accountOf(digest) } } / 1.microseconds / REPEATS
    },
)

private const val ORGANISATION = "organisation"
private val ACCOUNTS = listOf(100, 500, 2_500)
private const val DESIGN_ACCOUNTS = 2_500
private const val KEYS_PER_ACCOUNT = 2
private const val REPEATS = 100
