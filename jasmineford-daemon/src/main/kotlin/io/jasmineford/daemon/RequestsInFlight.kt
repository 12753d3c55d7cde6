package io.jasmineford.daemon

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onCompletion
import kotlinx.coroutines.flow.onStart
import java.util.concurrent.atomic.AtomicInteger

/** Counts answers that callers or peers still wait for, so that a planned stop cuts none. */
internal class RequestsInFlight {
    private val running = AtomicInteger()

    /** Answers that have begun and not ended. */
    val count: Int get() = running.get()

    /** Counts [answer] from its start to its end, whatever ends it. */
    fun <T> counted(answer: Flow<T>): Flow<T> = answer
        .onStart { running.incrementAndGet() }
        .onCompletion { running.decrementAndGet() }
}
