package io.jasmineford.core.endpoint

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Rules of [CrashSuspects].
 *
 * @property suspectFor time after which a suspect that was not seen again is forgotten.
 * @property quarantineFor time for which a request that was the only suspect of a crash is refused, counted from when it
 *   was last sent.
 * @property sharedQuarantineFor the same when several suspects were in flight; after it each is tried alone again.
 * @property sameCrash reports of one endpoint within this time belong to the same crash.
 */
data class SuspectSettings(
    val suspectFor: Duration = 1.hours,
    val quarantineFor: Duration = 1.hours,
    val sharedQuarantineFor: Duration = 30.seconds,
    val sameCrash: Duration = 2.seconds,
)

/** What may happen to a request. */
sealed interface SuspectVerdict {
    /** It may run anywhere. */
    data object Clear : SuspectVerdict

    /** It was in flight at a crash: it runs only where no other suspect runs, and not on the last healthy endpoint. */
    data object Suspect : SuspectVerdict

    /** It was in flight at two crashes and is refused. */
    data object Quarantined : SuspectVerdict
}

/**
 * Requests that were in flight when their endpoint crashed, by request digest. All VMs exchange crashes, so that each keeps
 * the same list.
 *
 * All requests in flight at a first crash become suspects, since nothing tells which one caused it. Suspects never run
 * beside each other, so that a second crash has one suspect, which is quarantined; the others clear themselves by
 * completing. When VMs that do not know of each other's suspects ran two of them side by side, both are quarantined for a
 * short time only.
 */
class CrashSuspects(private val settings: SuspectSettings = SuspectSettings()) {
    private val entries = object : LinkedHashMap<String, Entry>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Entry>?) = size > DIGEST_LIMIT
    }
    private val secondCrashes = ArrayList<SecondCrash>()

    /** What may happen to the request with [digest]. */
    fun verdict(digest: String, now: Duration): SuspectVerdict {
        forget(now)
        val entry = entries[digest] ?: return SuspectVerdict.Clear
        if (now >= entry.quarantinedUntil) return SuspectVerdict.Suspect
        if (!entry.isShared) entry.quarantinedUntil = now + settings.quarantineFor
        return SuspectVerdict.Quarantined
    }

    /** Takes a crash of [endpoint] with the request [digest] in flight there; returns whether it is quarantined now. */
    fun crashed(endpoint: String, digest: String, now: Duration): Boolean {
        forget(now)
        val entry = entries[digest]
        if (entry == null) {
            entries[digest] = Entry(endpoint, now)
            return false
        }
        val isSameCrash = entry.endpoint == endpoint && now - entry.at < settings.sameCrash
        if (!isSameCrash) quarantine(endpoint, digest, entry, now)
        return now < entry.quarantinedUntil
    }

    /** Takes the answer of the request with [digest]: it did not cause the crash. */
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

    private fun forget(now: Duration) {
        secondCrashes.removeAll { now - it.at >= settings.sameCrash }
        entries.values.removeAll { now - it.at > settings.suspectFor && now >= it.quarantinedUntil }
    }

    private class Entry(var endpoint: String, var at: Duration) {
        var quarantinedUntil = Duration.ZERO
        var isShared = false
    }

    private class SecondCrash(val endpoint: String, val digest: String, val at: Duration)

    private companion object {
        const val DIGEST_LIMIT = 10_000
    }
}
