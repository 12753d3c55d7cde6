package io.jasmineford.gateway.call

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.fail

/**
 * Guards against bytes of one response that reach the caller of another one, calls that run twice and connections that
 * are used again after they carried bytes that belong to no request.
 *
 * `-Dresponses.schedules=N` plays more schedules, `-Dresponses.seed=S` begins with the one of a seed that failed.
 */
class ResponseFuzzTest {
    @Test
    fun `no caller gets a byte of another response and no call runs more often than its route allows`() {
        val schedules = System.getProperty("responses.schedules")?.toLong() ?: SCHEDULES
        val first = System.getProperty("responses.seed")?.toLong() ?: 1
        val broken = (first until first + schedules).associateWith { ResponseSchedule(it).play() }
            .filterValues { it.isNotEmpty() }
        val (seed, rules) = broken.entries.firstOrNull() ?: return
        fail("${broken.size} of $schedules schedules, seeds ${broken.keys.take(SHOWN_SEEDS)}; seed $seed: $rules")
    }

    @Test
    fun `a page without an id inside a chunk that ends in the same read is told from the chunk`() {
        assertEquals(emptyList(), ResponseSchedule(CHUNK_ENDS_IN_READ).play())
    }

    private companion object {
        const val CHUNK_ENDS_IN_READ = 38_153L
        const val SCHEDULES = 10_000L
        const val SHOWN_SEEDS = 10
    }
}
