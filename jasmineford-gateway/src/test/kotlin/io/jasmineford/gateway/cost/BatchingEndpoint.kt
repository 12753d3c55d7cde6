package io.jasmineford.gateway.cost

import kotlin.math.exp

/** A call as an endpoint runs it. */
internal class EngineJob(val call: SimulatedCall, val onEvent: () -> Unit, val onEnd: () -> Unit) {
    var unread = 0.0
    var generated = 0.0
    var events = 0
}

/** Model of an endpoint that reads prompts one by one, generates in batches and caches parts of prompts. */
internal class BatchingEndpoint(val speed: Double, private val slots: Int, private val memoryTokens: Int) {
    private val jobs = ArrayList<EngineJob>()
    private val cached = LinkedHashMap<Long, Int>()

    /** Time that the calls take from now on, as if each were alone. */
    val remainingMillis: Double
        get() = jobs.sumOf { it.unread * READ_MILLIS + (it.call.output - it.generated) * TOKEN_MILLIS } / speed

    fun start(job: EngineJob) {
        val hits = job.call.parts.takeWhile { it.id in cached }.sumOf { minOf(it.tokens, cached.getValue(it.id)) }
        job.unread = (job.call.prompt - hits).coerceAtLeast(0).toDouble()
        job.call.parts.forEach { part ->
            cached.remove(part.id)
            cached[part.id] = part.tokens
        }
        while (cached.values.sum() > memoryTokens / 2) cached.remove(cached.keys.first())
        jobs += job
    }

    /** Runs the calls for [millis]; while a prompt is read, tokens come half as fast. */
    fun run(millis: Double) {
        val (reading, generating) = jobs.take(slots).partition { it.unread > 0 }
        reading.firstOrNull()?.let { it.unread -= millis * speed / READ_MILLIS }
        val rate = (if (reading.isEmpty()) 1.0 else 0.5) / (1 + BATCH_COST * (generating.size - 1))
        generating.forEach { it.generated += millis * speed * rate / TOKEN_MILLIS }
        generating.forEach { job ->
            val due = minOf(job.generated.toInt(), job.call.output) / TOKENS_PER_EVENT
            while (job.events < due) job.onEvent().also { job.events++ }
        }
        val ended = generating.filter { it.generated >= it.call.output }
        jobs.removeAll(ended.toSet())
        ended.forEach { it.onEnd() }
        if (jobs.size > 1 && jobs.sumOf { it.call.prompt / 2 + it.generated } > memoryTokens) preempt(jobs.last())
    }

    private fun preempt(job: EngineJob) {
        job.unread = job.call.prompt.toDouble()
        job.generated = 0.0
        jobs.remove(job)
        jobs.add(job)
    }

    companion object {
        const val TOKENS_PER_EVENT = 8
        const val READ_MILLIS = 0.1
        const val TOKEN_MILLIS = 2.0
        private const val BATCH_COST = 0.1
    }
}

/** A call with its true [output] in tokens and what its caller tells. */
internal class SimulatedCall(
    val route: String,
    val program: String,
    val parts: List<PromptPart>,
    val output: Int,
    error: Double,
) {
    val prompt = parts.sumOf { it.tokens }
    val hint = (output * exp(error)).toInt().coerceIn(1, MAX_OUTPUT)
    val hints = CallHints(prompt, MAX_OUTPUT, hint, parts)

    companion object {
        const val MAX_OUTPUT = 2000
    }
}
