package io.jasmineford.bench.program

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.Usage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times from the crash and from the lease revocation until all shards are served, and store calls after the latter. */
internal data class TakeoverResult(val killToServed: Duration, val revocationToServed: Duration, val storeCalls: Long)

/** Three VMs, one of which owns [programs] programs of ten turns each and then crashes. */
internal class TakeoverRun(seed: Long, private val programs: Int) {
    private val random = Random(seed)
    private val loop = EventLoop()
    private val store = FaultyStore(loop, random, lossRate = 0.0)
    private val leases = LeaseRegistry(loop, store.fake, SHARDS)
    private val context =
        SimulationContext(loop, store, leases, SHARDS, trimSegments = Int.MAX_VALUE, JournalSettings())
    private val vms = (0 until VMS).map { ProgramVm(context, "vm$it", random.nextInt(VMS).seconds) }

    /** Runs until the other VMs serve all shards. */
    fun run(): TakeoverResult {
        scheduleLeaseChecks()
        loop.runUntil(SETTLE_TIME) { isServed() }
        loop.runUntil(loop.clock.now() + SETTLE_TIME)
        val victim = vms.first()
        commitTurns(victim)
        loop.runUntil(loop.clock.now() + SETTLE_TIME)
        victim.isAlive = false
        val killedAt = loop.clock.now()
        val live = { leases.live().size }
        loop.runUntil(killedAt + TAKEOVER_TIMEOUT) { live() < VMS }
        val revokedAt = loop.clock.now()
        // From here on, the store is called for the takeover and for map reads, whose number is independent of size.
        val before = calls()
        loop.runUntil(killedAt + TAKEOVER_TIMEOUT) { isServed() }
        check(isServed()) { "expected all shards to be served within $TAKEOVER_TIMEOUT, actual some are not" }
        return TakeoverResult(loop.clock.now() - killedAt, loop.clock.now() - revokedAt, calls() - before)
    }

    private fun commitTurns(victim: ProgramVm) {
        val names = generateSequence(0) { it + 1 }.map { ProgramId(ScopedName("be-wal", "club"), "p$it") }
        names.filter { victim.lifecycle.isServing(victim.shardOf(it)) }.take(programs).forEach { program ->
            repeat(TURNS) { turn ->
                val messages = listOf(Message("user", "x".repeat(CHARS)), Message("assistant", "y".repeat(CHARS)))
                val request = TurnRequest(program, turn + 1, newMessages = messages, requestDigest = "d$turn")
                val ticket = (victim.lifecycle.begin(request) as TurnDecision.Run).ticket
                victim.journal.append(checkNotNull(victim.registry.commit(ticket, messages, Usage())))
            }
        }
    }

    private fun isServed() = (0 until SHARDS).all { shard -> vms.any { it.isAlive && it.lifecycle.isServing(shard) } }

    private fun calls() = store.fake.counts.let { it.reads + it.writes + it.lists }

    private fun scheduleLeaseChecks() {
        loop.after(LEASE_CHECK_INTERVAL) {
            leases.check()
            scheduleLeaseChecks()
        }
    }

    private companion object {
        const val VMS = 3
        const val SHARDS = 12
        const val TURNS = 10
        const val CHARS = 1_500
        val LEASE_CHECK_INTERVAL = 50.milliseconds
        val SETTLE_TIME = 10.seconds
        val TAKEOVER_TIMEOUT = 30.seconds
    }
}
