package io.jasmineford.daemon.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.config.SyncSettings
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.objective.Objective
import io.jasmineford.core.objective.Promise
import io.jasmineford.core.program.JournalSettings
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of one entry daemon, read from YAML.
 *
 * @property vm name of this VM, unique in the fleet.
 * @property zone availability zone of this VM.
 * @property host IP address that all ports listen on.
 * @property callerPort HTTP port for callers; 0 lets the system choose.
 * @property operatorPort HTTP port for operators and metrics; 0 lets the system choose.
 * @property peerPort gRPC port for other daemons; 0 lets the system choose.
 * @property platformUrl base URL of the object API.
 * @property dataDirectory directory for cached history; empty when the VM has no disk for it.
 * @property stopGraceMs time from the start of a planned stop during which callers that still use this VM's address are
 *   sent the addresses of other VMs; as long as an address answer is valid.
 * @property engineCompareMs interval between comparisons of the programs in an engine's KV cache with the live
 *   programs.
 * @property programIdleMs time without a call after which a program's KV cache in the engine is freed.
 * @property objectiveAnsweredPercent share of calls that must be answered with a result, see docs/reasons.md.
 * @property objectiveAdmittedPercent share of calls within their account's rate that must not be refused.
 */
@Serializable
data class EntrySettings(
    val vm: String,
    val zone: String,
    val host: String = "127.0.0.1",
    val callerPort: Int = 0,
    val operatorPort: Int = 0,
    val peerPort: Int = 0,
    val platformUrl: String,
    val dataDirectory: String = "",
    val leaseTimeToLiveMs: Long = 6_000,
    val leaseRenewEveryMs: Long = 2_000,
    val leaseMarginMs: Long = 1_000,
    val leaseListEveryMs: Long = 500,
    val shards: Int = 48,
    val journalLingerMs: Long = 2,
    val configurationPollMs: Long = 500,
    val configurationMaxProofAgeMs: Long = 2_000,
    val callDeadlineMs: Long = 60_000,
    val storeTimeoutMs: Long = 2_000,
    val stopGraceMs: Long = 10_000,
    val engineCompareMs: Long = 30_000,
    val programIdleMs: Long = 900_000,
    val objectiveAnsweredPercent: Double = 99.9,
    val objectiveAdmittedPercent: Double = 99.9,
)

/** An invalid setting. [problem] names the accepted range and the actual value. */
data class SettingsError(
    val key: String,
    val problem: String,
) {
    override fun toString(): String = "$key: $problem"
}

/** Parses and checks settings; returns every error found. */
fun parseEntrySettings(text: String): Result<EntrySettings, List<SettingsError>> {
    val settings = try {
        Yaml.default.decodeFromString(EntrySettings.serializer(), text)
    } catch (e: YamlException) {
        return Err(listOf(syntaxError(e)))
    }
    val errors = checkEntrySettings(settings)
    return if (errors.isEmpty()) Ok(settings) else Err(errors)
}

/** Returns every value of [settings] that is out of range. */
fun checkEntrySettings(settings: EntrySettings): List<SettingsError> = buildList {
    checkText("vm", settings.vm)
    checkText("zone", settings.zone)
    checkRange("callerPort", settings.callerPort.toLong())
    checkRange("operatorPort", settings.operatorPort.toLong())
    checkRange("peerPort", settings.peerPort.toLong())
    checkRange("leaseTimeToLiveMs", settings.leaseTimeToLiveMs)
    checkRange("leaseRenewEveryMs", settings.leaseRenewEveryMs)
    checkRange("leaseMarginMs", settings.leaseMarginMs)
    checkRange("leaseListEveryMs", settings.leaseListEveryMs)
    checkRange("shards", settings.shards.toLong())
    checkRange("journalLingerMs", settings.journalLingerMs)
    checkRange("configurationPollMs", settings.configurationPollMs)
    checkRange("configurationMaxProofAgeMs", settings.configurationMaxProofAgeMs)
    checkRange("callDeadlineMs", settings.callDeadlineMs)
    checkRange("storeTimeoutMs", settings.storeTimeoutMs)
    checkRange("stopGraceMs", settings.stopGraceMs)
    checkRange("engineCompareMs", settings.engineCompareMs)
    checkRange("programIdleMs", settings.programIdleMs)
    checkPercent("objectiveAnsweredPercent", settings.objectiveAnsweredPercent)
    checkPercent("objectiveAdmittedPercent", settings.objectiveAdmittedPercent)
    // A lease must remain valid when one renewal is lost.
    if (settings.leaseRenewEveryMs > settings.leaseTimeToLiveMs / 2) {
        val maximum = settings.leaseTimeToLiveMs / 2
        val problem = "expected at most half of leaseTimeToLiveMs, $maximum, actual ${settings.leaseRenewEveryMs}"
        add(SettingsError("leaseRenewEveryMs", problem))
    }
}

/** Settings of leases and shard ownership. */
fun EntrySettings.membershipSettings(): MembershipSettings = MembershipSettings(
    timeToLive = leaseTimeToLiveMs.milliseconds,
    renewEvery = leaseRenewEveryMs.milliseconds,
    margin = leaseMarginMs.milliseconds,
    listEvery = leaseListEveryMs.milliseconds,
    shards = shards,
)

/** Settings of configuration distribution. */
fun EntrySettings.syncSettings(): SyncSettings {
    val maxProofAge = configurationMaxProofAgeMs.milliseconds
    return SyncSettings(
        maxProofAge = maxProofAge,
        readEvery = minOf(configurationPollMs.milliseconds, SyncSettings(maxProofAge).readEvery),
        writeLateness = storeTimeoutMs.milliseconds * MAX_WRITE_DELAY_STORE_TIMEOUTS,
    )
}

/** Settings of the journal's group commit. */
fun EntrySettings.journalSettings(): JournalSettings = JournalSettings(linger = journalLingerMs.milliseconds)

/** Service-level objectives, which apply to each account, route and zone. */
fun EntrySettings.objectives(): List<Objective> = listOf(
    Objective(Promise.ANSWERED, objectiveAnsweredPercent / PERCENT_PER_UNIT),
    Objective(Promise.ADMITTED, objectiveAdmittedPercent / PERCENT_PER_UNIT),
)

/**
 * Describes a YAML error, with the accepted range if the key is of a whole number: its value may, for example, have a
 * unit.
 */
private fun syntaxError(e: YamlException): SettingsError {
    val key = e.path.toHumanReadableString()
    val range = RANGES[key]?.let { "; expected a whole number from ${it.first} to ${it.last}" }.orEmpty()
    return SettingsError(key, "line ${e.line}: ${e.message.lines().first().trimEnd('.')}$range")
}

private fun MutableList<SettingsError>.checkText(key: String, value: String) {
    val isName = NAME_PATTERN.matches(value)
    if (!isName) add(SettingsError(key, "expected letters, digits, dots and dashes, actual '$value'"))
}

private fun MutableList<SettingsError>.checkRange(key: String, value: Long) {
    val range = RANGES.getValue(key)
    if (value !in range) add(SettingsError(key, "expected ${range.first} to ${range.last}, actual $value"))
}

private fun MutableList<SettingsError>.checkPercent(key: String, value: Double) {
    if (value !in PERCENT) add(SettingsError(key, "expected ${PERCENT.start} to ${PERCENT.endInclusive}, actual $value"))
}

private const val PERCENT_PER_UNIT = 100.0

/** A target of 100 % would leave no error budget, so the burn rate would be undefined. */
private val PERCENT = 50.0..99.999

/** A write may take effect this many store timeouts after its sender stopped waiting for the reply. */
private const val MAX_WRITE_DELAY_STORE_TIMEOUTS = 5
private val NAME_PATTERN = Regex("[A-Za-z0-9.-]{1,63}")
private val PORTS = 0L..65_535L
private val LEASE_MS = 10L..600_000L
private val INTERVAL_MS = 10L..60_000L

/** Accepted values of the whole-number settings, by key. */
private val RANGES: Map<String, LongRange> = mapOf(
    "callerPort" to PORTS,
    "operatorPort" to PORTS,
    "peerPort" to PORTS,
    "leaseTimeToLiveMs" to LEASE_MS,
    "leaseRenewEveryMs" to LEASE_MS,
    "leaseMarginMs" to LEASE_MS,
    "leaseListEveryMs" to LEASE_MS,
    "shards" to 1L..100_000L,
    "journalLingerMs" to 0L..1_000L,
    "configurationPollMs" to INTERVAL_MS,
    "configurationMaxProofAgeMs" to INTERVAL_MS,
    "callDeadlineMs" to 10L..3_600_000L,
    "storeTimeoutMs" to INTERVAL_MS,
    "stopGraceMs" to 0L..600_000L,
    "engineCompareMs" to 10L..3_600_000L,
    "programIdleMs" to 10L..86_400_000L,
)
