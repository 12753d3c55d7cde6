package io.jasmineford.bench.fleet

import kotlin.time.Duration

/** One turn of a program that ended with a result. */
data class TurnSample(
    val account: Int,
    val startedAt: Duration,
    val endedAt: Duration,
    val firstTokenAfter: Duration,
    val promptTokens: Int,
    val historyTokens: Int,
    val cachedTokens: Int,
    val outputTokens: Int,
)

/** One program that ended with all its turns; [unavoidable] is the time of its tool pauses. */
data class ProgramSample(
    val account: Int,
    val startedAt: Duration,
    val endedAt: Duration,
    val unavoidable: Duration,
)

/** What a run observed. */
class FleetRecord {
    val turns = mutableListOf<TurnSample>()
    val programs = mutableListOf<ProgramSample>()

    /** Waiting calls of each account at each sampling time. */
    val queues = mutableListOf<Pair<Duration, List<Int>>>()

    /** Requests offered to the limiters. */
    var offered = 0

    /** Requests refused although their account was within its fleet-wide rate and burst. */
    var wronglyRefused = 0

    /** Calls dispatched to a zone out of service after the time that I10 allows. */
    var lateWork = 0
}

/** Value below which [share] of [values] lie; 0 without values. */
fun quantile(values: List<Double>, share: Double): Double {
    if (values.isEmpty()) return 0.0
    val sorted = values.sorted()
    return sorted[((sorted.size - 1) * share).toInt()]
}
