package io.jasmineford.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Costs and limits of a [FakeEngine]. The defaults are of the order that publications report for an 8 B model on one
 * accelerator; scenarios depend on their ratios only.
 *
 * @property maxBatch maximum number of sequences that run at once; others wait in arrival order.
 * @property stepBase time of a step that is independent of the batch (reading the weights).
 * @property stepPerSequence additional time for each decoding sequence.
 * @property prefillPerToken additional time for each prompt token that is not cached.
 * @property prefillChunk maximum number of prompt tokens computed in one step.
 * @property cacheTokens capacity of the KV cache in tokens, including running sequences.
 * @property importPerToken time for each token of imported KV cache.
 * @property coldConcurrencyLimit concurrent requests above which a cold engine crashes.
 * @property limitGainPerAnswer increase of that limit with each completed request; may be a fraction.
 * @property coldSlowdown factor on the step times of a fully cold engine.
 * @property restartAfter time from a crash until the engine accepts requests again, cold.
 * @property eventDelay maximum delay of a cache event.
 * @property eventLoss share of cache events that are lost.
 * @property reportLag age of the visible load report.
 */
data class EngineProfile(
    val maxBatch: Int = 16,
    val stepBase: Duration = 8.milliseconds,
    val stepPerSequence: Duration = 250.microseconds,
    val prefillPerToken: Duration = 40.microseconds,
    val prefillChunk: Int = 256,
    val cacheTokens: Long = 400_000,
    val importPerToken: Duration = 4.microseconds,
    val coldConcurrencyLimit: Int = 2,
    val limitGainPerAnswer: Double = 0.5,
    val coldSlowdown: Double = 3.0,
    val restartAfter: Duration = 5.seconds,
    val eventDelay: Duration = 2.seconds,
    val eventLoss: Double = 0.05,
    val reportLag: Duration = 1.seconds,
)

/** Time of one step of a warm engine that decodes [decoding] sequences and computes [prefill] prompt tokens. */
fun EngineProfile.stepTime(decoding: Int, prefill: Int = 0): Duration =
    stepBase + stepPerSequence * decoding + prefillPerToken * prefill
