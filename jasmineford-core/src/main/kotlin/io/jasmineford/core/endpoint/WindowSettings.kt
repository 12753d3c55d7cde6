package io.jasmineford.core.endpoint

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rules of endpoint windows.
 *
 * @property coldWindow requests in flight that any endpoint can bear right after its start.
 * @property growthPerAnswer slots that each good answer adds; slow start doubles the window every four windows of answers.
 * @property firstTokenJump ratio to the usual time to first token that counts as a sign of cold. Prefills of other calls in
 *   the same batch vary it by about three without any fault.
 * @property intervalJump ratio to the usual time between tokens that counts as a sign of cold. A full batch against an
 *   empty one varies it by less than two.
 * @property coldAfterAnswers signs in a row after which the endpoint counts as cold.
 * @property shrinkFactor factor on the window at each sign before that.
 * @property startValid time for which a borrower may start calls on a slice.
 * @property callLimit longest time that a call runs; a slot whose borrower was lost stays lent for so long.
 * @property dispatchMargin longest time from taking a slot until the endpoint has the request.
 * @property reportLag longest age of a load report.
 * @property idleReturn time without use after which a borrower returns a slice.
 * @property retryEvery wait between two requests of a borrower that was lent nothing.
 * @property patience wait for a reply from the owner.
 */
data class WindowSettings(
    val coldWindow: Int = 2,
    val growthPerAnswer: Double = 0.25,
    val firstTokenJump: Double = 6.0,
    val intervalJump: Double = 2.2,
    val coldAfterAnswers: Int = 3,
    val shrinkFactor: Double = 0.7,
    val startValid: Duration = 4.seconds,
    val callLimit: Duration = 60.seconds,
    val dispatchMargin: Duration = 250.milliseconds,
    val reportLag: Duration = 2.seconds,
    val idleReturn: Duration = 200.milliseconds,
    val retryEvery: Duration = 20.milliseconds,
    val patience: Duration = 250.milliseconds,
)

/**
 * What one answer tells about its endpoint.
 *
 * @property firstToken time from dispatch to the first token.
 * @property interval mean time between tokens; null for answers of one token and for services.
 * @property uncachedTokens prompt tokens that the endpoint computed.
 * @property isFailed whether the connection broke or the endpoint refused the request.
 */
data class AnswerSample(
    val firstToken: Duration,
    val interval: Duration? = null,
    val uncachedTokens: Long = 0,
    val isFailed: Boolean = false,
)
