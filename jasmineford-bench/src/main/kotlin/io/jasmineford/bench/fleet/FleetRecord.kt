package io.jasmineford.bench.fleet

import kotlin.time.Duration

/** A turn that ended with a result. */
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

/** A completed program; [toolPauses] is the sum of its tool pauses. */
data class ProgramSample(
    val account: Int,
    val startedAt: Duration,
    val endedAt: Duration,
    val toolPauses: Duration,
)

/** Observations of a run. */
class FleetRecord {
    val turns = mutableListOf<TurnSample>()
    val programs = mutableListOf<ProgramSample>()

    /** Number of waiting calls by account, at each sampling time. */
    val queues = mutableListOf<Pair<Duration, List<Int>>>()

    /** Requests offered to the limiters. */
    var offered = 0

    /** Requests refused although their account was within its fleet-wide rate and burst. */
    var wronglyRefused = 0

    /** Calls dispatched to a zone later after it went out of service than invariant I10 allows. */
    var lateWork = 0
}

/** Quantile of [values] at [share] (0 to 1); 0 without values. */
fun quantile(values: List<Double>, share: Double): Double {
    if (values.isEmpty()) return 0.0
    val sorted = values.sorted()
    return sorted[((sorted.size - 1) * share).toInt()]
}
