package io.jasmineford.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Costs and limits of a [FakeEngine]. The defaults are of the order that publications report for an 8 B model on one
 * accelerator; scenarios depend on their ratios only.
 *
 * @property maxBatch sequences that run at once; later ones wait in arrival order.
 * @property stepBase time of a step that is independent of the batch (reading the weights).
 * @property stepPerSequence additional time for each decoding sequence.
 * @property prefillPerToken additional time for each prompt token that is not cached.
 * @property prefillChunk most prompt tokens computed in one step.
 * @property cacheTokens tokens of KV cache memory, running sequences included.
 * @property importPerToken time for each token of imported KV cache.
 * @property coldBatch requests that a cold engine can hold at once.
 * @property warmthPerAnswer requests by which that number rises with each answer.
 * @property coldSlowdown factor on step times of a fully cold engine.
 * @property restartAfter time from a crash until the engine accepts requests again, cold.
 * @property eventDelay longest delay of a cache event.
 * @property eventLoss share of cache events that are never published.
 * @property reportLag age of the load report.
 */
data class EngineProfile(
    val maxBatch: Int = 16,
    val stepBase: Duration = 8.milliseconds,
    val stepPerSequence: Duration = 250.microseconds,
    val prefillPerToken: Duration = 40.microseconds,
    val prefillChunk: Int = 256,
    val cacheTokens: Long = 400_000,
    val importPerToken: Duration = 4.microseconds,
    val coldBatch: Int = 2,
    val warmthPerAnswer: Double = 0.5,
    val coldSlowdown: Double = 3.0,
    val restartAfter: Duration = 5.seconds,
    val eventDelay: Duration = 2.seconds,
    val eventLoss: Double = 0.05,
    val reportLag: Duration = 1.seconds,
)

/** Time of one step that decodes [decoding] sequences and computes [prefill] prompt tokens on a warm engine. */
fun EngineProfile.stepTime(decoding: Int, prefill: Int = 0): Duration =
    stepBase + stepPerSequence * decoding + prefillPerToken * prefill
