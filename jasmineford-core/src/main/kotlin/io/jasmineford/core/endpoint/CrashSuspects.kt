package io.jasmineford.core.endpoint

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [CrashSuspects].
 *
 * @property suspectFor time after which a suspect without another crash is removed.
 * @property quarantineFor time for which a request that was the only suspect of a crash is refused, counted from the
 *   last attempt to send it.
 * @property sharedQuarantineFor the same when several suspects were in flight; afterwards each is retried alone.
 * @property sameCrash failure reports of one endpoint within this time are attributed to the same crash.
 */
data class SuspectSettings(
    val suspectFor: Duration = 1.hours,
    val quarantineFor: Duration = 1.hours,
    val sharedQuarantineFor: Duration = 30.seconds,
    val sameCrash: Duration = 2.seconds,
)

/** Whether and how a request may run. */
sealed interface SuspectVerdict {
    /** It may run on any endpoint. */
    data object Clear : SuspectVerdict

    /** It was in flight at a crash: it must not run beside another suspect or on the last healthy endpoint. */
    data object Suspect : SuspectVerdict

    /** It was in flight at two crashes and is refused. */
    data object Quarantined : SuspectVerdict
}

/**
 * Identifies requests that crash endpoints, by request digest. VMs exchange crash reports, so that each has the same
 * list.
 *
 * All requests in flight at a first crash become suspects, since any of them may have caused it. Suspects do not run
 * beside each other, so a second crash has a single suspect, which is quarantined. The others are cleared by
 * completing. VMs that have not yet exchanged their suspects may run two of them side by side; after a crash both are
 * then quarantined, but only for a short time.
 */
class CrashSuspects(private val settings: SuspectSettings = SuspectSettings()) {
    private val entries = object : LinkedHashMap<String, Entry>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Entry>?) = size > MAX_SUSPECTS
    }
    private val secondCrashes = ArrayList<SecondCrash>()

    /** Verdict on the request with [digest]. */
    fun verdict(digest: String, now: Duration): SuspectVerdict {
        removeExpired(now)
        val entry = entries[digest] ?: return SuspectVerdict.Clear
        if (now >= entry.quarantinedUntil) return SuspectVerdict.Suspect
        if (!entry.isShared) entry.quarantinedUntil = now + settings.quarantineFor
        return SuspectVerdict.Quarantined
    }

    /**
     * Records a crash of [endpoint] with request [digest] in flight; returns whether the request is quarantined now.
     *
     * @param startedAt start of the failed attempt if this VM made it. An attempt that started after a recorded crash
     *   failed in a different one.
     */
    fun crashed(endpoint: String, digest: String, now: Duration, startedAt: Duration? = null): Boolean {
        removeExpired(now)
        val entry = entries[digest]
        if (entry == null) {
            entries[digest] = Entry(endpoint, now)
            return false
        }
        val isEarlier = startedAt == null || startedAt <= entry.at
        val isSameCrash = entry.endpoint == endpoint && now - entry.at < settings.sameCrash && isEarlier
        if (!isSameCrash) quarantine(endpoint, digest, entry, now)
        return now < entry.quarantinedUntil
    }

    /** Records that the request with [digest] completed and thus does not crash endpoints. */
    fun completed(digest: String) {
        entries.remove(digest)
    }

    private fun quarantine(endpoint: String, digest: String, entry: Entry, now: Duration) {
        entry.endpoint = endpoint
        entry.at = now
        val others = secondCrashes.filter { it.endpoint == endpoint && now - it.at < settings.sameCrash && it.digest != digest }
        secondCrashes += SecondCrash(endpoint, digest, now)
        entry.isShared = others.isNotEmpty()
        entry.quarantinedUntil = now + if (entry.isShared) settings.sharedQuarantineFor else settings.quarantineFor
        for (other in others.mapNotNull { entries[it.digest] }) {
            other.isShared = true
            other.quarantinedUntil = other.at + settings.sharedQuarantineFor
        }
    }

    private fun removeExpired(now: Duration) {
        secondCrashes.removeAll { now - it.at >= settings.sameCrash }
        entries.values.removeAll { now - it.at > settings.suspectFor && now >= it.quarantinedUntil }
    }

    private class Entry(var endpoint: String, var at: Duration) {
        var quarantinedUntil = Duration.ZERO
        var isShared = false
    }

    private class SecondCrash(val endpoint: String, val digest: String, val at: Duration)

    private companion object {
        const val MAX_SUSPECTS = 10_000
    }
}
