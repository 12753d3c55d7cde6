package io.jasmineford.gateway.rollout

import io.jasmineford.gateway.rollout.RolloutFleetModel.Companion.BOUNDS
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rollouts of versions that turn bad at any time, and of good ones during bursts. Guards against exposing callers
 * beyond the bound once the calls have moved, and against rolling a good version back since both versions fail.
 */
class RolloutExposureTest {
    private fun end(call: ModelCall, isFailure: Boolean, factor: Double = 1.0) = ModelEnd(
        (100 * factor * (0.5 + call.random.nextDouble()) * (1 + call.load)).milliseconds,
        if (isFailure) AttemptResult.FAILURE else AttemptResult.SUCCESS,
    )

    private fun run(
        seed: Int,
        size: Int = 6,
        rate: Double = 1.0,
        behaviour: (ModelCall) -> ModelEnd,
        during: (RolloutFleetModel) -> Unit = {},
    ): RolloutFleetModel {
        val model = RolloutFleetModel(seed, size, callsPerSecond = 40.0 * rate, behaviour = behaviour)
        model.run(5.seconds)
        model.order(SECONDS)
        during(model)
        while (model.store.finals.isEmpty() && model.clock.now() < (5 + SECONDS).seconds) model.run(10.milliseconds)
        return model
    }

    private fun checkExposure(name: String, model: RolloutFleetModel) {
        val new = model.newCalls.size
        val finals = model.store.finals.map { it.outcome }
        // A version that is completed gets all calls from then on.
        val endedAt = model.clock.now()
        model.run((5 + SECONDS).seconds - endedAt)
        val isCompleted = finals.singleOrNull() == RolloutOutcome.COMPLETED
        val exposed = if (isCompleted) new else model.newCalls.size
        val all = model.callsSinceOrder.size
        println("exposure $name $finals after ${endedAt - 5.seconds}: $exposed of $all")
        val text = "$name $exposed of $all\n${model.decisions.joinToString("\n")}"
        assertEquals(1, finals.size, text)
        assertTrue(exposed <= all * BOUNDS.exposureShare + BOUNDS.exposureSlack, text)
        assertEquals(0, if (isCompleted) 0 else model.lateCalls(), text)
    }

    @Test
    fun `a version that turns bad at any time stays within the bound until its final state`() {
        listOf(40.0, 160.0).forEach { callsPerSecond ->
            (8..19).forEach { step ->
                val at = SECONDS.seconds * (step / 20.0)
                val model = run(step, rate = callsPerSecond / 40, behaviour = {
                    end(it, isFailure = it.isNew && it.at > at && it.random.nextDouble() < 0.4)
                })
                checkExposure("bad from $at at $callsPerSecond/s", model)
            }
        }
    }

    /** The calls at the old version take up to two seconds to end, and a daemon is killed just before they move. */
    @Test
    fun `a version that turns bad while the old one still has calls stays within the bound`() {
        listOf(0.7, 0.8, 0.85).forEach { part ->
            SEEDS.forEach { seed ->
                val model = run(seed, rate = 2.0, behaviour = {
                    val isBad = it.isNew && it.at > SECONDS.seconds * part
                    val factor = if (it.route == "tools") 8.0 else 1.0
                    end(it, isFailure = isBad && it.random.nextDouble() < 0.4, factor)
                }, during = {
                    it.run(SECONDS.seconds * 0.7)
                    it.daemons.last().kill()
                })
                checkExposure("long calls, bad from $part, seed $seed", model)
            }
        }
    }

    /** Some calls at the old version take a second, so that the burst begins before the version is completed. */
    @Test
    fun `a burst in which both versions fail while calls move rolls no good version back`() {
        SEEDS.forEach { seed ->
            var burstAt = Duration.INFINITE
            val model = run(seed, size = 6 + seed % 2 * 6, behaviour = { call ->
                val isBurst = call.at >= burstAt && call.at < burstAt + 4.seconds
                val factor = (if (call.route == "tools") 6.0 else 1.0) * if (isBurst) 1.5 else 1.0
                end(call, isFailure = isBurst && call.random.nextDouble() < 0.5, factor)
            }, during = { model ->
                while (model.daemons.none { it.rollout?.phase == RolloutPhase.DRAIN }) model.run(10.milliseconds)
                burstAt = model.clock.now() - 5.seconds + 50.milliseconds * seed
            })
            val text = "seed=$seed\n${model.decisions.joinToString("\n")}"
            println("burst seed=$seed ${model.store.finals} after ${model.clock.now() - 5.seconds}")
            assertEquals(listOf(RolloutOutcome.COMPLETED), model.store.finals.map { it.outcome }, text)
            assertTrue(model.daemons.any { it.rollout?.round == 1 }, "the burst is not noticed: $text")
        }
    }

    private companion object {
        const val SECONDS = 24
        val SEEDS = 1..8
    }
}
