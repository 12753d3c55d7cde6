package io.jasmineford.daemon

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onCompletion
import kotlinx.coroutines.flow.onStart
import java.util.concurrent.atomic.AtomicInteger

/** Counts answers in progress to callers and peers, so that a planned stop can wait for them. */
internal class RequestsInFlight {
    private val running = AtomicInteger()

    /** Number of answers that have begun and not ended. */
    val count: Int get() = running.get()

    /** Counts [answer] while it is collected, however it ends. */
    fun <T> counted(answer: Flow<T>): Flow<T> = answer
        .onStart { running.incrementAndGet() }
        .onCompletion { running.decrementAndGet() }
}
