package io.jasmineford.standin.engine

import kotlin.random.Random
import kotlin.time.Duration

/** Cache events and load reports of an engine as seen by a caller: delayed, lossy and lagging as [profile] says. */
class DelayedReports(private val profile: EngineProfile, private val random: Random) {
    private val events = ArrayDeque<Pair<Duration, CacheEvent>>()
    private val loads = ArrayDeque<Pair<Duration, LoadReport>>()
    private var lastVisible = Duration.ZERO

    /** Records an event, which may be lost. Events become visible in the order in which they were recorded. */
    fun record(now: Duration, event: CacheEvent) {
        if (random.nextDouble() < profile.eventLoss) return
        lastVisible = maxOf(lastVisible, now + profile.eventDelay * random.nextDouble())
        events.addLast(lastVisible to event)
    }

    /** Records the load as of [now]. */
    fun record(now: Duration, load: LoadReport) {
        loads.addLast(now to load)
        while (loads.size > 1 && loads[1].first <= now - profile.reportLag) loads.removeFirst()
    }

    /** Events that became visible since the last call. */
    fun events(now: Duration): List<CacheEvent> = buildList {
        while (events.firstOrNull()?.let { it.first <= now } == true) add(events.removeFirst().second)
    }

    /** The load as of [EngineProfile.reportLag] before [now]. */
    fun load(now: Duration): LoadReport =
        loads.lastOrNull { it.first <= now - profile.reportLag }?.second ?: LoadReport()
}
