package io.jasmineford.standin.engine

import kotlin.random.Random
import kotlin.time.Duration

/** Cache events and load reports of an engine, with the delay, the gaps and the lag of its [profile]. */
class LateReports(private val profile: EngineProfile, private val random: Random) {
    private val events = ArrayDeque<Pair<Duration, CacheEvent>>()
    private val loads = ArrayDeque<Pair<Duration, LoadReport>>()
    private var lastVisible = Duration.ZERO

    /** Records an event; some are lost. Events of one engine keep their order. */
    fun record(now: Duration, event: CacheEvent) {
        if (random.nextDouble() < profile.eventLoss) return
        lastVisible = maxOf(lastVisible, now + profile.eventDelay * random.nextDouble())
        events.addLast(lastVisible to event)
    }

    /** Records the load from [now] on. */
    fun record(now: Duration, load: LoadReport) {
        loads.addLast(now to load)
        while (loads.size > 1 && loads[1].first <= now - profile.reportLag) loads.removeFirst()
    }

    /** Events that became visible since the last call. */
    fun events(now: Duration): List<CacheEvent> = buildList {
        while (events.firstOrNull()?.let { it.first <= now } == true) add(events.removeFirst().second)
    }

    /** The load as of one lag before [now]. */
    fun load(now: Duration): LoadReport =
        loads.lastOrNull { it.first <= now - profile.reportLag }?.second ?: LoadReport()
}
