package io.jasmineford.daemon.settings

import com.charleskorn.kaml.Yaml
import com.github.michaelbull.result.get
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the keys of the settings file. */
class EntrySettingsTest {
    private val settings = EntrySettings(
        "a-1", "a", "127.0.0.2", 1, 2, 3, "http://127.0.0.1:7000", "/data",
        6_001, 2_001, 1_001, 501, 49, 3, 502, 2_002, 60_001, 2_003, 10_001, 30_001, 900_001, 99.8, 99.7,
    )
    private val yaml = """
        vm: "a-1"
        zone: "a"
        host: "127.0.0.2"
        callerPort: 1
        operatorPort: 2
        peerPort: 3
        platformUrl: "http://127.0.0.1:7000"
        dataDirectory: "/data"
        leaseTimeToLiveMs: 6001
        leaseRenewEveryMs: 2001
        leaseMarginMs: 1001
        leaseListEveryMs: 501
        shards: 49
        journalLingerMs: 3
        configurationPollMs: 502
        configurationMaxProofAgeMs: 2002
        callDeadlineMs: 60001
        storeTimeoutMs: 2003
        stopGraceMs: 10001
        engineCompareMs: 30001
        programIdleMs: 900001
        objectiveAnsweredPercent: 99.8
        objectiveAdmittedPercent: 99.7
    """.trimIndent()

    @Test
    fun `every setting is read and written under its key`() {
        assertEquals(settings, parseEntrySettings(yaml).get())
        assertEquals(yaml, Yaml.default.encodeToString(EntrySettings.serializer(), settings))
    }
}
