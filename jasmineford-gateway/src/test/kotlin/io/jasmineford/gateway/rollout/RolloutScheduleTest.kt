package io.jasmineford.gateway.rollout

import io.jasmineford.gateway.rollout.RolloutFleetModel.Companion.BOUNDS
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Random faults during a rollout: daemons that are killed, restarted and cut off, a store that is down, slow, loses
 * replies and its history. Guards against two final states, a bad version that is completed, and too much exposure.
 */
class RolloutScheduleTest {
    @Test
    fun `the bounds hold under random faults`() = SEEDS.forEach { seed ->
        val random = Random(seed)
        val badFrom = if (seed % 2 == 0) random.nextInt(0, 11) else null
        val model = RolloutFleetModel(seed, size = 3 + seed % 14, callsPerSecond = 30.0 + seed) { call ->
            val isBad = badFrom != null && call.isNew && call.at > badFrom.seconds && call.random.nextDouble() < 0.4
            val time = (60 * (0.5 + call.random.nextDouble()) * (1 + call.load)).milliseconds
            ModelEnd(time, if (isBad) AttemptResult.FAILURE else AttemptResult.SUCCESS)
        }
        model.run(4.seconds)
        model.order(SECONDS)
        val faults = ArrayList<String>()
        repeat(SECONDS) { second ->
            if (random.nextDouble() < 0.4) faults += "$second ${inject(model, random)}"
            if (random.nextDouble() < 0.25) heal(model)
            model.run(1.seconds)
        }
        heal(model)
        model.run(12.seconds)
        val text = "seed=$seed badFrom=$badFrom ${model.store.finals} new=${model.newCalls.size} of " +
            "${model.callsSinceOrder.size}, faults $faults\n${model.decisions.joinToString("\n")}"
        assertEquals(1, model.store.finals.size, text)
        if (badFrom != null) {
            assertEquals(RolloutOutcome.ROLLED_BACK, model.store.finals.single().outcome, text)
            val allowed = model.callsSinceOrder.size * BOUNDS.exposureShare + BOUNDS.exposureSlack
            assertTrue(model.newCalls.size <= allowed, text)
            assertEquals(0, model.lateCalls(), text)
        } else {
            val reasons = model.decisions.filter { "phase=ROLLBACK" in it && "source=${it.split(' ')[1]}" in it }
            assertEquals(emptyList(), reasons.filter { "reason=deadline" !in it }, text)
        }
    }

    private fun inject(model: RolloutFleetModel, random: Random): String {
        val daemon = model.daemons.random(random)
        val (name, fault) = listOf<Pair<String, () -> Unit>>(
            "restart" to { daemon.restart() },
            "frozen" to { daemon.freeze() },
            "cut off" to { model.fleet.cutOff(listOf(daemon.entry)) },
            "partition" to { model.fleet.cutBetween { it.member.name.hashCode() % 3 == 0 } },
            "store down" to { model.store.isUp = false },
            "store lost" to { daemon.client.isReachable = false },
            "store slow" to {
                model.store.delay = 200.milliseconds
                model.store.lostReplies = 0.3
                model.store.competingWrites = 0.2
            },
            "history lost" to { model.store.loseHistory() },
        ).random(random)
        fault()
        return "$name ${daemon.entry.member.name}"
    }

    private fun heal(model: RolloutFleetModel) {
        model.fleet.heal()
        model.store.isUp = true
        model.store.delay = 5.milliseconds
        model.store.lostReplies = 0.0
        model.store.competingWrites = 0.0
        model.daemons.filterNot { it.isServing }.forEach { it.resume() }
        model.daemons.forEach { it.client.isReachable = true }
    }

    private companion object {
        const val SECONDS = 24
        val SEEDS = 1..60
    }
}
