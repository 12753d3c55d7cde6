package io.jasmineford.gateway.measure

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The duration in seconds with their fraction. */
internal val Duration.seconds: Double get() = toDouble(DurationUnit.SECONDS)
