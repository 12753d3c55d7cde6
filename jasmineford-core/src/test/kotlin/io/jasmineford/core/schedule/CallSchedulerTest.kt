package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.Priority
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.Usage
import io.jasmineford.core.time.VirtualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallSchedulerTest {
    private val clock = VirtualClock()
    private val deployment = ScopedName("o", "d")
    private val accounts = listOf("a", "b", "c").map { ScopedName("o", it) }

    private fun endpoints(count: Int, window: Int) = List(count) { Endpoint("e$it", "e$it", "z", window) }

    private fun scheduler(endpoints: List<Endpoint>, weights: Map<ScopedName, Double> = emptyMap()) =
        CallScheduler(clock, weightOf = { weights[it] ?: 1.0 }).apply { endpointsChanged(mapOf(deployment to endpoints)) }

    private fun call(id: Long, account: ScopedName = accounts[0], program: String? = null, priority: Priority = Priority.DRAFT) =
        QueuedCall(id, account, deployment, program?.let { ProgramId(account, it) }, priority, 500, submittedAt = clock.now())

    /** No window is exceeded, no call is lost or decided twice, and none is dispatched to an excluded endpoint. */
    @Test
    fun `every call is decided exactly once and within the windows for any order of events`() {
        for (seed in 1L..200L) {
            val random = Random(seed)
            val endpoints = endpoints(random.nextInt(1, 5), random.nextInt(1, 4))
            val scheduler = scheduler(endpoints)
            val running = HashMap<Long, Endpoint>()
            val decided = HashSet<Long>()
            val calls = HashMap<Long, QueuedCall>()
            val cancelled = HashSet<Long>()
            fun take(decisions: List<ScheduleDecision>) = decisions.forEach { decision ->
                assertTrue(decided.add(decision.call), "seed $seed: call ${decision.call} decided twice")
                if (decision is ScheduleDecision.Dispatch) running[decision.call] = decision.endpoint
                val call = calls.getValue(decision.call)
                assertTrue(running[decision.call]?.name !in call.excluded, "seed $seed: excluded endpoint was used")
                val most = running.values.groupingBy { it }.eachCount().values.maxOrNull() ?: 0
                assertTrue(most <= endpoints[0].window, "seed $seed: $most in flight, window ${endpoints[0].window}")
            }
            for (id in 1L..120L) {
                clock.advance(random.nextInt(50).milliseconds)
                val call = call(id, accounts.random(random), "p${random.nextInt(9)}", Priority.entries.random(random)).copy(
                    deadline = clock.now() + random.nextInt(1, 3_000).milliseconds,
                    excluded = endpoints.filter { random.nextInt(4) == 0 }.map { it.name }.toSet(),
                )
                calls[id] = call
                take(scheduler.submit(call))
                val ended = running.keys.filter { random.nextInt(3) == 0 }
                for (done in ended) {
                    running.remove(done)
                    val isCancelled = random.nextInt(5) == 0
                    take(if (isCancelled) scheduler.cancelled(done) else scheduler.finished(done, Usage(500, 20, 100)))
                }
                val givenUp = (1..id).random(random)
                if (givenUp !in decided && random.nextInt(10) == 0) {
                    cancelled += givenUp
                    take(scheduler.cancelled(givenUp))
                }
                take(scheduler.tick())
            }
            running.keys.toList().forEach {
                running.remove(it)
                take(scheduler.finished(it, Usage(500, 20, 100)))
            }
            clock.advance(5.seconds)
            take(scheduler.tick())
            val expected = (1L..120L).toSet() - cancelled
            assertEquals(expected, decided - cancelled, "seed $seed: expected a decision for every call")
            assertEquals(0, scheduler.queueLength, "seed $seed")
        }
    }

    /** Guards against an account that gets more than its weighted share by sending more calls. */
    @Test
    fun `backlogged accounts are served in proportion to their weights`() {
        val weights = mapOf(accounts[0] to 1.0, accounts[1] to 2.0, accounts[2] to 3.0)
        val scheduler = scheduler(endpoints(2, 2), weights)
        val calls = (1L..6_000L).map { call(it, accounts[(it % 3).toInt()]) }
        val usages = accounts.zip(listOf(Usage(500, 10), Usage(500, 60), Usage(500, 200))).toMap()
        val attained = HashMap<ScopedName, Double>()
        val open = ArrayDeque(calls.flatMap { scheduler.submit(it) })
        repeat(1_500) {
            clock.advance(10.milliseconds)
            val id = open.removeFirst().call
            val usage = usages.getValue(calls[id.toInt() - 1].account)
            attained.merge(calls[id.toInt() - 1].account, TokenCost().of(usage), Double::plus)
            open += scheduler.finished(id, usage)
        }
        val perWeight = accounts.map { attained.getValue(it) / weights.getValue(it) }
        assertTrue(perWeight.max() / perWeight.min() < 1.1, "expected equal service by weight, actual $perWeight")
    }

    /** Guards against starvation of drafts behind lookups, and of long-running programs behind new ones. */
    @Test
    fun `lookups go first but drafts and long-running programs still run`() {
        val scheduler = scheduler(endpoints(1, 1))
        var running = scheduler.submit(call(1, program = "long")).single().call
        running = scheduler.run { finished(running, Usage(90_000, 100)) + submit(call(2)) }.single().call
        scheduler.submit(call(3, program = "long"))
        val order = mutableListOf<Long>()
        for (id in 10L..49L) {
            val priority = if (id % 2 == 0L) Priority.LOOKUP else Priority.DRAFT
            clock.advance(400.milliseconds)
            scheduler.submit(call(id, program = "p$id", priority = priority))
            scheduler.submit(call(id + 100, program = "q$id", priority = Priority.LOOKUP))
            running = scheduler.finished(running, Usage(500, 10)).single().call
            order += running
        }
        val drafts = order.count { it < 100 && it % 2 == 1L }
        assertTrue(drafts in 7..9, "expected one draft after every four lookups, actual $drafts of ${order.size}")
        assertTrue(order.indexOf(3) >= 4, "expected new programs first, actual order $order")
        assertTrue(3L in order, "expected the long program to run by its age, actual order $order")
    }
}
