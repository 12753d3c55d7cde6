package io.jasmineford.daemon.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.lease.MembershipSettings
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
 * @property dataDirectory folder on a small disk for cached history; empty when the VM has none.
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
)

/** A fault of the settings: the key, the value and the accepted range on one line. */
data class SettingsError(
    val key: String,
    val problem: String,
) {
    override fun toString(): String = "$key: $problem"
}

/** Reads and checks settings; returns every fault found. */
fun parseEntrySettings(text: String): Result<EntrySettings, List<SettingsError>> {
    val settings = try {
        Yaml.default.decodeFromString(EntrySettings.serializer(), text)
    } catch (e: YamlException) {
        val key = e.path.toHumanReadableString()
        return Err(listOf(SettingsError(key, "line ${e.line}: ${e.message.lines().first()}")))
    }
    val errors = checkEntrySettings(settings)
    return if (errors.isEmpty()) Ok(settings) else Err(errors)
}

/** Range faults of [settings]. */
fun checkEntrySettings(settings: EntrySettings): List<SettingsError> = buildList {
    checkText("vm", settings.vm)
    checkText("zone", settings.zone)
    checkRange("callerPort", settings.callerPort.toLong(), PORTS)
    checkRange("operatorPort", settings.operatorPort.toLong(), PORTS)
    checkRange("peerPort", settings.peerPort.toLong(), PORTS)
    checkRange("leaseTimeToLiveMs", settings.leaseTimeToLiveMs, LEASE_MS)
    checkRange("leaseRenewEveryMs", settings.leaseRenewEveryMs, 1..settings.leaseTimeToLiveMs / 2)
    checkRange("leaseMarginMs", settings.leaseMarginMs, LEASE_MS)
    checkRange("leaseListEveryMs", settings.leaseListEveryMs, LEASE_MS)
    checkRange("shards", settings.shards.toLong(), SHARDS)
    checkRange("journalLingerMs", settings.journalLingerMs, LINGER_MS)
    checkRange("configurationPollMs", settings.configurationPollMs, POLL_MS)
    checkRange("configurationMaxProofAgeMs", settings.configurationMaxProofAgeMs, POLL_MS)
    checkRange("callDeadlineMs", settings.callDeadlineMs, DEADLINE_MS)
    checkRange("storeTimeoutMs", settings.storeTimeoutMs, POLL_MS)
}

/** Times of the ownership protocol. */
fun EntrySettings.membership(): MembershipSettings = MembershipSettings(
    timeToLive = leaseTimeToLiveMs.milliseconds,
    renewEvery = leaseRenewEveryMs.milliseconds,
    margin = leaseMarginMs.milliseconds,
    listEvery = leaseListEveryMs.milliseconds,
    shards = shards,
)

/** Times of group commit. */
fun EntrySettings.journal(): JournalSettings = JournalSettings(linger = journalLingerMs.milliseconds)

private fun MutableList<SettingsError>.checkText(key: String, value: String) {
    val isName = NAME_PATTERN.matches(value)
    if (!isName) add(SettingsError(key, "expected letters, digits, dots and dashes, actual '$value'"))
}

private fun MutableList<SettingsError>.checkRange(key: String, value: Long, range: LongRange) {
    if (value !in range) add(SettingsError(key, "expected ${range.first} to ${range.last}, actual $value"))
}

private val NAME_PATTERN = Regex("[A-Za-z0-9.-]{1,63}")
private val PORTS = 0L..65_535L
private val LEASE_MS = 10L..600_000L
private val SHARDS = 1L..100_000L
private val LINGER_MS = 0L..1_000L
private val POLL_MS = 10L..60_000L
private val DEADLINE_MS = 10L..3_600_000L
