package io.jasmineford.core.endpoint

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of endpoint concurrency windows.
 *
 * @property coldWindow requests in flight that any endpoint can handle right after its start.
 * @property growthPerAnswer slots added per normal answer; the window doubles every four windows of answers.
 * @property slowFirstTokenRatio ratio to the average time to first token above which an answer is slow. Prefills of
 *   other calls in the same batch vary it by a factor of about three without any fault.
 * @property slowIntervalRatio ratio to the average time between tokens above which an answer is slow. It varies by a
 *   factor of less than two between an empty and a full batch.
 * @property coldAfterAnswers slow answers in a row after which the endpoint counts as cold.
 * @property shrinkFactor factor applied to the window at each slow answer before that.
 * @property startValidity time for which a borrower may start calls on a slice.
 * @property maxCallDuration longest duration of a call; a slot whose borrower was lost stays lent for this long.
 * @property dispatchMargin longest time from taking a slot until the endpoint receives the request.
 * @property reportLag longest age of a load report.
 * @property idleTimeout time without use after which a borrower returns a slice.
 * @property retryInterval wait between two requests of a borrower that was lent nothing.
 * @property replyTimeout time without a reply after which a message is sent again.
 */
data class WindowSettings(
    val coldWindow: Int = 2,
    val growthPerAnswer: Double = 0.25,
    val slowFirstTokenRatio: Double = 6.0,
    val slowIntervalRatio: Double = 2.2,
    val coldAfterAnswers: Int = 3,
    val shrinkFactor: Double = 0.7,
    val startValidity: Duration = 4.seconds,
    val maxCallDuration: Duration = 60.seconds,
    val dispatchMargin: Duration = 250.milliseconds,
    val reportLag: Duration = 2.seconds,
    val idleTimeout: Duration = 200.milliseconds,
    val retryInterval: Duration = 20.milliseconds,
    val replyTimeout: Duration = 250.milliseconds,
)

/**
 * Latency measurements of one answer.
 *
 * @property firstToken time from dispatch to the first token.
 * @property interval mean time between tokens; null for answers of one token and for calls to services.
 * @property uncachedTokens prompt tokens that the endpoint computed.
 * @property isFailed whether the connection broke or the endpoint refused the request.
 */
data class AnswerSample(
    val firstToken: Duration,
    val interval: Duration? = null,
    val uncachedTokens: Long = 0,
    val isFailed: Boolean = false,
)
