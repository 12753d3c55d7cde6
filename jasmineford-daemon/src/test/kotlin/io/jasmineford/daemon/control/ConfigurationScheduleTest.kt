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
                Schedule(seed).run()
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    @Test
    fun `keyed requests are admitted throughout a ten-minute store outage and refused once a VM stops responding`() =
        inWorld(seed = 1, vmsPerZone = 2) { world ->
            world.vms.values.forEach { it.start() }
            delay(12.seconds)
            world.platform.objects.isDown = true
            val end = world.now() + 10.minutes
            while (world.now() < end) {
                delay(50.milliseconds)
                val refusing = world.vms.values.filterNot { it.process!!.holder.isProvedCurrent() }.map { it.name }
                assertEquals(emptyList(), refusing, "expected no VM to refuse in the outage at ${world.now()}")
            }
            world.vms.values.last().crash()
            delay(2_100.milliseconds)
            val serving = world.vms.values.filter { it.process?.holder?.isProvedCurrent() == true }.map { it.name }
            assertEquals(emptyList(), serving, "expected no proof once a VM that may publish stops responding")
        }

    @Test
    fun `a VM that the others do not know may publish only after they have acknowledged it`() =
        inWorld(seed = 2, vmsPerZone = 1) { world ->
            val (first, second, late) = world.vms.values.toList()
            listOf(first, second).forEach { it.start() }
            delay(12.seconds)
            // The first two VMs prove the configuration to each other, and only the late VM can reach the store.
            world.platform.cutOff += listOf(first.name, second.name)
            world.severed += listOf(setOf(first.name, late.name), setOf(second.name, late.name))
            late.start()
            delay(5.seconds)
            val refused = late.process!!.publisher.publish(PublishRequest("r", buildsOn = null, change(1)))
            assertTrue(refused.getError() is PublishError.NotEntitled, "expected no right to publish, actual $refused")
            assertTrue(first.process!!.holder.isProvedCurrent() && second.process!!.holder.isProvedCurrent())
            world.platform.cutOff.clear()
            world.severed.clear()
            delay(5.seconds)
            val accepted = late.process!!.publisher.publish(PublishRequest("r", buildsOn = null, change(1)))
            assertEquals(1, accepted.get(), "expected the publication to be accepted, actual $accepted")
        }

    private fun inWorld(seed: Int, vmsPerZone: Int, block: suspend CoroutineScope.(ConfigurationWorld) -> Unit) =
        runTest(StandardTestDispatcher(), timeout = 5.minutes) {
            val dispatcher = StandardTestDispatcher(testScheduler)
            val world = ConfigurationWorld(
                scope = backgroundScope,
                dispatcher = dispatcher,
                random = Random(seed),
                zones = listOf("a", "b", "c"),
                vmsPerZone = vmsPerZone,
                now = { testScheduler.currentTime.milliseconds },
            )
            backgroundScope.launch(dispatcher) { world.revokeSilentLeases() }
            block(world)
        }

    private inner class Schedule(private val seed: Int) {
        private val random = Random(seed)
        private val replies = HashMap<String, Result<Long, PublishError>>()
        private var number = 0

        fun run() = inWorld(seed, vmsPerZone = 1 + seed % 2) { world ->
            val names = world.vms.keys.toList()
            names.drop(1).forEach { world.vms.getValue(it).start() }
            val faults = launch { repeat(FAULTS) { fault(world, names) } }
            val publications = launch { repeat(PUBLICATIONS) { publish(world, names) } }
            val watch = launch { while (true) check(world).also { delay(50.milliseconds) } }
            faults.join()
            heal(world, names)
            publications.join()
            delay(SETTLING)
            watch.cancel()
            checkEnd(world)
        }

        private suspend fun CoroutineScope.fault(world: ConfigurationWorld, names: List<String>) {
            delay(random.nextLong(MAX_GAP_MS).milliseconds)
            val name = names.random(random)
            val lasts = random.nextLong(MAX_FAULT_MS).milliseconds
            when (random.nextInt(KINDS_OF_FAULT)) {
                0 -> lasting(lasts, { world.platform.objects.isDown = true }) { world.platform.objects.isDown = false }
                1 -> lasting(lasts, { world.platform.cutOff += name }) { world.platform.cutOff -= name }
                2 -> lasting(lasts, { world.severed += names.map { setOf(it, name) } }) { world.severed.removeIf { name in it } }
                3 -> lasting(lasts, { world.platform.faultRate = 0.3 }) { world.platform.faultRate = 0.0 }
                4 -> lasting(lasts, { world.platform.slowness = 700.milliseconds }) { world.platform.slowness = Duration.ZERO }
                5 -> lasting(lasts, { isolate(world, names, name) }) { reconnect(world, name) }
                else -> lasting(lasts, { world.vms.getValue(name).crash() }) { restart(world, name) }
            }
        }

        private fun CoroutineScope.lasting(time: Duration, begin: () -> Unit, end: () -> Unit) {
            begin()
            launch {
                delay(time)
                end()
            }
        }

        private fun isolate(world: ConfigurationWorld, names: List<String>, name: String) {
            world.platform.cutOff += name
            world.severed += names.map { setOf(it, name) }
        }

        private fun reconnect(world: ConfigurationWorld, name: String) {
            world.platform.cutOff -= name
            world.severed.removeIf { name in it }
        }

        private fun restart(world: ConfigurationWorld, name: String) {
            if (world.vms.getValue(name).process == null) world.vms.getValue(name).start()
        }

        private suspend fun heal(world: ConfigurationWorld, names: List<String>) {
            delay(MAX_FAULT_MS.milliseconds)
            names.forEach { restart(world, it) }
        }

        private suspend fun CoroutineScope.publish(world: ConfigurationWorld, names: List<String>) {
            delay(random.nextLong(MAX_GAP_MS).milliseconds)
            repeat(1 + random.nextInt(2)) {
                val process = world.vms.getValue(names.random(random)).process ?: return@repeat
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

        private fun check(world: ConfigurationWorld) {
            val due = world.newestAcceptedBefore(world.now() - PROOF_BOUND)
            for (vm in world.vms.values) {
                val process = vm.process ?: continue
                val generation = process.holder.current.generation
                val isAdmitting = process.holder.isProvedCurrent()
                assertTrue(
                    !isAdmitting || generation >= due,
                    "${vm.name} admits at ${world.now()}: expected generation $due or newer, actual $generation",
                )
                val seen = process.seen.map { it.generation }
                assertEquals(seen.sorted().distinct(), seen, "expected rising generations on ${vm.name}, actual $seen")
            }
        }

        private fun checkEnd(world: ConfigurationWorld) {
            // A write without a reply may take effect late, so only generations older than the bound must be in force.
            val due = world.newestAcceptedBefore(world.now() - IN_FORCE_BOUND)
            val requests = world.platform.accepted.keys.associateBy { world.published(it).first.recent.last().request }
            for (vm in world.vms.values) {
                val process = vm.process!!
                val generation = process.holder.current.generation
                assertTrue(generation >= due, "${vm.name}: expected generation $due or newer, actual $generation")
                assertTrue(process.holder.isProvedCurrent(), "expected a proof on ${vm.name}")
                process.seen.forEach { assertEquals(world.published(it.generation).second, it, "expected whole generations") }
            }
            assertTrue(replies.isNotEmpty(), "expected replies, actual none")
            for ((digest, reply) in replies) {
                reply.fold(
                    success = { assertEquals(it, requests[digest], "expected the stored generation of $digest") },
                    failure = {
                        val mayHaveRun = it is PublishError.Unknown
                        assertTrue(mayHaveRun || digest !in requests, "expected $digest not accepted, answered with $it")
                    },
                )
            }
        }
    }

    private companion object {
        const val FAULTS = 6
        const val KINDS_OF_FAULT = 7
        const val PUBLICATIONS = 8
        const val MAX_GAP_MS = 2_500L
        const val MAX_FAULT_MS = 9_000L
        val PROOF_BOUND = 2.seconds

        /** Time after which an accepted change must be in force on every VM. */
        val IN_FORCE_BOUND = 4.seconds
        val SETTLING = 5.seconds
    }
}
