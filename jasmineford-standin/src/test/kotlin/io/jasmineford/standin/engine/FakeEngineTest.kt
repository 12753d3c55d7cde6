package io.jasmineford.standin.engine

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Checks that the simulated engine scales as publications report, which the benchmark relies on. */
class FakeEngineTest {
    private fun run(engine: FakeEngine, jobs: List<EngineJob>): List<EngineSignal> {
        jobs.forEach { engine.submit(Duration.ZERO, it) }
        val signals = mutableListOf<EngineSignal>()
        while (!engine.nextEventAt().isInfinite()) signals += engine.advance(engine.nextEventAt())
        return signals
    }

    private fun throughput(batch: Int): Double {
        val jobs = (1L..batch).map { EngineJob(it, EnginePrompt(ownTokens = 1), outputTokens = 200) }
        val signals = run(FakeEngine("e", EngineProfile(maxBatch = batch)), jobs)
        return batch * 200 / signals.maxOf { it.at }.toDouble(DurationUnit.SECONDS)
    }

    private fun firstToken(uncached: Int): Double {
        val signals = run(FakeEngine("e"), listOf(EngineJob(1, EnginePrompt(ownTokens = uncached), outputTokens = 1)))
        return signals.first { it is EngineSignal.FirstToken }.at.toDouble(DurationUnit.SECONDS)
    }

    @Test
    fun `throughput rises with the batch size and saturates`() {
        val measured = listOf(1, 2, 4, 8, 16, 32, 64, 128).map { throughput(it) }
        assertTrue(measured.zipWithNext().all { (a, b) -> b > a }, "expected rising throughput, actual $measured")
        val gains = measured.zipWithNext { a, b -> b / a }
        assertTrue(gains.zipWithNext().all { (a, b) -> b < a }, "expected falling gains, actual $gains")
        assertTrue(gains.first() > 1.8 && gains.last() < 1.25, "expected saturation, actual gains $gains")
    }

    @Test
    fun `time to first token grows linearly with uncached prompt tokens`() {
        val slope = (firstToken(8_192) - firstToken(4_096)) / (firstToken(4_096) - firstToken(2_048))
        assertTrue(slope in 1.9..2.1, "expected twice the growth over twice the tokens, actual $slope")
    }

    @Test
    fun `time between tokens grows with the batch size`() {
        val intervals = listOf(1, 4, 16, 64).map { it / throughput(it) }
        assertTrue(intervals.zipWithNext().all { (a, b) -> b > a }, "expected growth, actual $intervals")
    }

    @Test
    fun `cached prefixes are not recomputed and memory stays within its limit`() {
        val cache = PromptCache(limit = 1_000)
        val random = Random(7)
        val computed = HashMap<String, Int>()
        repeat(2_000) { step ->
            val program = "p${random.nextInt(20)}"
            val prompt = EnginePrompt("s${random.nextInt(2)}", 50, program, random.nextInt(1, 200))
            val cached = cache.match(prompt)
            val available = 50 + (computed[program] ?: 0)
            assertTrue(cached <= available, "step $step: expected at most $available cached tokens, actual $cached")
            assertTrue(cache.reserve(prompt, 20))
            cache.release(prompt, 20)
            computed.merge(program, prompt.ownTokens + 20, ::maxOf)
            assertEquals(prompt.tokens, cache.match(prompt), "expected the whole prompt cached right after its request")
            assertTrue(cache.usedTokens <= 1_000, "expected at most 1000 tokens, actual ${cache.usedTokens}")
        }
        assertTrue(cache.usedTokens > 800, "expected a full cache, actual ${cache.usedTokens}")
        cache.programs().keys.forEach { cache.drop(it) }
        assertTrue(cache.usedTokens <= 100, "expected only shared prefixes, actual ${cache.usedTokens}")
    }

    @Test
    fun `a cold engine crashes above its concurrency limit and warms up with completed requests`() {
        val job = { id: Long -> EngineJob(id, EnginePrompt(ownTokens = 100), outputTokens = 10) }
        val overloaded = FakeEngine("e", isCold = true)
        assertEquals(3, run(overloaded, (1L..3L).map(job)).filterIsInstance<EngineSignal.Failed>().size)
        val engine = FakeEngine("e", isCold = true)
        repeat(10) { id -> engine.submit(engine.advance(1.seconds * (id + 1)).let { 1.seconds * (id + 1) }, job(id.toLong())) }
        engine.advance(20.seconds)
        assertEquals(7, engine.concurrencyLimit)
        assertEquals(0, engine.crashes)
    }

    @Test
    fun `cache events are delayed and partly lost and the load report lags`() {
        val engine = FakeEngine("e", EngineProfile(eventLoss = 0.2), Random(3))
        var now = Duration.ZERO
        val seen = mutableListOf<CacheEvent>()
        repeat(100) { id ->
            engine.submit(now, EngineJob(id.toLong(), EnginePrompt(program = "p$id", ownTokens = 50), outputTokens = 2))
            while (!engine.nextEventAt().isInfinite()) {
                now = engine.nextEventAt()
                engine.advance(now)
            }
            if (id == 0) assertEquals(LoadReport(), engine.loadReport(now), "expected no visible request yet")
            seen += engine.cacheEvents(now)
        }
        seen += engine.cacheEvents(now + 10.seconds)
        assertTrue(seen.size in 60..95, "expected gaps in 100 events, actual ${seen.size} events")
    }
}
