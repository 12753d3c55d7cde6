package io.jasmineford.daemon.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.runTest
import java.util.stream.IntStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a configuration that reverts, is applied in part, stays in use without proof that it is current, or
 * whose publication is answered with the wrong outcome. Runs random schedules of faults in virtual time.
 */
class ConfigurationScheduleTest {
    @Test
    fun `no schedule of faults makes a configuration revert, apply in part or stay in use without proof`() {
        val count = System.getProperty("jasmineford.schedules")?.toInt() ?: 1_000
        val first = System.getProperty("jasmineford.firstSeed")?.toInt() ?: 1
        IntStream.range(first, first + count).parallel().forEach { seed ->
            try {
                FaultSchedule(seed).run()
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    @Test
    fun `keyed requests are admitted throughout a ten-minute store outage and refused once a VM stops responding`() =
        simulate(seed = 1, vmsPerZone = 2) { simulation ->
            simulation.vms.values.forEach { it.start() }
            delay(12.seconds)
            simulation.platform.objects.isDown = true
            val end = simulation.now() + 10.minutes
            while (simulation.now() < end) {
                delay(50.milliseconds)
                val refusing = simulation.vms.values.filterNot { it.process!!.holder.isProvedCurrent() }.map { it.name }
                assertEquals(emptyList(), refusing, "expected no VM to refuse in the outage at ${simulation.now()}")
            }
            simulation.vms.values.last().crash()
            delay(2_100.milliseconds)
            val serving = simulation.vms.values.filter { it.process?.holder?.isProvedCurrent() == true }.map { it.name }
            assertEquals(emptyList(), serving, "expected no proof once a VM that may publish stops responding")
        }

    @Test
    fun `a VM that the others do not know may publish only after they have acknowledged it`() =
        simulate(seed = 2, vmsPerZone = 1) { simulation ->
            val (first, second, late) = simulation.vms.values.toList()
            listOf(first, second).forEach { it.start() }
            delay(12.seconds)
            // The first two VMs prove the configuration to each other, and only the late VM can reach the store.
            simulation.platform.disconnectedVms += listOf(first.name, second.name)
            simulation.blockedLinks += listOf(setOf(first.name, late.name), setOf(second.name, late.name))
            late.start()
            delay(5.seconds)
            val refused = late.process!!.publisher.publish(PublishRequest("r", buildsOn = null, change(1)))
            assertTrue(refused.getError() is PublishError.NotEntitled, "expected no right to publish, actual $refused")
            assertTrue(first.process!!.holder.isProvedCurrent() && second.process!!.holder.isProvedCurrent())
            simulation.platform.disconnectedVms.clear()
            simulation.blockedLinks.clear()
            delay(5.seconds)
            val accepted = late.process!!.publisher.publish(PublishRequest("r", buildsOn = null, change(1)))
            assertEquals(1, accepted.get(), "expected the publication to be accepted, actual $accepted")
        }

    private fun simulate(seed: Int, vmsPerZone: Int, block: suspend CoroutineScope.(ConfigurationSimulation) -> Unit) =
        runTest(StandardTestDispatcher(), timeout = 5.minutes) {
            val dispatcher = StandardTestDispatcher(testScheduler)
            val simulation = ConfigurationSimulation(
                scope = backgroundScope,
                dispatcher = dispatcher,
                random = Random(seed),
                zones = listOf("a", "b", "c"),
                vmsPerZone = vmsPerZone,
                now = { testScheduler.currentTime.milliseconds },
            )
            backgroundScope.launch(dispatcher) { simulation.revokeExpiredLeases() }
            block(simulation)
        }

    private inner class FaultSchedule(private val seed: Int) {
        private val random = Random(seed)
        private val replies = HashMap<String, Result<Long, PublishError>>()
        private var number = 0

        fun run() = simulate(seed, vmsPerZone = 1 + seed % 2) { simulation ->
            val names = simulation.vms.keys.toList()
            names.drop(1).forEach { simulation.vms.getValue(it).start() }
            val faults = launch { repeat(FAULTS) { fault(simulation, names) } }
            val publications = launch { repeat(PUBLICATIONS) { publish(simulation, names) } }
            val watch = launch { while (true) check(simulation).also { delay(50.milliseconds) } }
            faults.join()
            restartAll(simulation, names)
            publications.join()
            delay(SETTLE_TIME)
            watch.cancel()
            checkEnd(simulation)
        }

        private suspend fun CoroutineScope.fault(simulation: ConfigurationSimulation, names: List<String>) {
            delay(random.nextLong(MAX_GAP_MS).milliseconds)
            val platform = simulation.platform
            val links = simulation.blockedLinks
            val name = names.random(random)
            val duration = random.nextLong(MAX_FAULT_MS).milliseconds
            when (random.nextInt(FAULT_KINDS)) {
                0 -> applyFor(duration, { platform.objects.isDown = true }) { platform.objects.isDown = false }
                1 -> applyFor(duration, { platform.disconnectedVms += name }) { platform.disconnectedVms -= name }
                2 -> applyFor(duration, { links += names.map { setOf(it, name) } }) { links.removeIf { name in it } }
                3 -> applyFor(duration, { platform.faultRate = 0.3 }) { platform.faultRate = 0.0 }
                4 -> applyFor(duration, { platform.extraLatency = LATENCY }) { platform.extraLatency = Duration.ZERO }
                5 -> applyFor(duration, { isolate(simulation, names, name) }) { reconnect(simulation, name) }
                else -> applyFor(duration, { simulation.vms.getValue(name).crash() }) { restart(simulation, name) }
            }
        }

        private fun CoroutineScope.applyFor(time: Duration, begin: () -> Unit, end: () -> Unit) {
            begin()
            launch {
                delay(time)
                end()
            }
        }

        private fun isolate(simulation: ConfigurationSimulation, names: List<String>, name: String) {
            simulation.platform.disconnectedVms += name
            simulation.blockedLinks += names.map { setOf(it, name) }
        }

        private fun reconnect(simulation: ConfigurationSimulation, name: String) {
            simulation.platform.disconnectedVms -= name
            simulation.blockedLinks.removeIf { name in it }
        }

        private fun restart(simulation: ConfigurationSimulation, name: String) {
            if (simulation.vms.getValue(name).process == null) simulation.vms.getValue(name).start()
        }

        private suspend fun restartAll(simulation: ConfigurationSimulation, names: List<String>) {
            delay(MAX_FAULT_MS.milliseconds)
            names.forEach { restart(simulation, it) }
        }

        private suspend fun CoroutineScope.publish(simulation: ConfigurationSimulation, names: List<String>) {
            delay(random.nextLong(MAX_GAP_MS).milliseconds)
            repeat(1 + random.nextInt(2)) {
                val process = simulation.vms.getValue(names.random(random)).process ?: return@repeat
                val buildsOn = process.holder.current.generation.takeIf { random.nextBoolean() }
                val request = PublishRequest("r${number++}", buildsOn, change(number))
                launch {
                    var reply = process.publisher.publish(request)
                    // An operator repeats a request whose outcome is unknown.
                    if (isUnknown(reply)) reply = process.publisher.publish(request)
                    replies[request.digest] = reply
                }
            }
        }

        private fun isUnknown(reply: Result<Long, PublishError>) =
            reply.fold(success = { false }, failure = { it is PublishError.Unknown })

        private fun check(simulation: ConfigurationSimulation) {
            val due = simulation.newestAcceptedBefore(simulation.now() - PROOF_BOUND)
            for (vm in simulation.vms.values) {
                val process = vm.process ?: continue
                val generation = process.holder.current.generation
                val isAdmitting = process.holder.isProvedCurrent()
                assertTrue(
                    !isAdmitting || generation >= due,
                    "${vm.name} admits at ${simulation.now()}: expected generation $due or newer, actual $generation",
                )
                val seen = process.seen.map { it.generation }
                assertEquals(seen.sorted().distinct(), seen, "expected rising generations on ${vm.name}, actual $seen")
            }
        }

        private fun checkEnd(simulation: ConfigurationSimulation) {
            // A write without a reply may take effect late, so only generations older than the bound must be in force.
            val due = simulation.newestAcceptedBefore(simulation.now() - IN_FORCE_BOUND)
            val requests = simulation.platform.accepted.keys
                .associateBy { simulation.published(it).first.recent.last().request }
            for (vm in simulation.vms.values) {
                val process = vm.process!!
                val generation = process.holder.current.generation
                assertTrue(generation >= due, "${vm.name}: expected generation $due or newer, actual $generation")
                assertTrue(process.holder.isProvedCurrent(), "expected a proof on ${vm.name}")
                for (seen in process.seen) {
                    assertEquals(simulation.published(seen.generation).second, seen, "expected whole generations")
                }
            }
            assertTrue(replies.isNotEmpty(), "expected replies, actual none")
            for ((digest, reply) in replies) {
                reply.fold(
                    success = { assertEquals(it, requests[digest], "expected the stored generation of $digest") },
                    failure = {
                        val mayHaveRun = it is PublishError.Unknown
                        assertTrue(mayHaveRun || digest !in requests, "expected no change by $digest, answered $it")
                    },
                )
            }
        }
    }

    private companion object {
        const val FAULTS = 6
        const val FAULT_KINDS = 7
        val LATENCY = 700.milliseconds
        const val PUBLICATIONS = 8
        const val MAX_GAP_MS = 2_500L
        const val MAX_FAULT_MS = 9_000L
        val PROOF_BOUND = 2.seconds

        /** Time after which an accepted change must be in force on every VM. */
        val IN_FORCE_BOUND = 4.seconds
        val SETTLE_TIME = 5.seconds
    }
}
