package io.jasmineford.gateway.turn

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.peer.Member
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenReserverTest {
    private val clock = VirtualClock()
    private val scheduler = VirtualScheduler(clock)
    private val program = ProgramKey("club", "loop")
    private val members = listOf("a", "b", "c").map {
        Member(it, 1, "zone-$it", "r", isEntry = false, ip = "127.0.0.1", peerPort = 1)
    }

    /** A reserver of one daemon; each message to and from a history daemon takes 1 to 6 ms. */
    private fun reserver(states: Map<String, HistoryState>, random: Random): TokenReserver {
        val quorum = HistoryQuorum(
            view = { GroupView(epoch = 1, majority = 2, members = members) },
            channel = { member, _, request, onReply ->
                scheduler.after(random.nextInt(1000, 6000).milliseconds / 1000) {
                    val reply = states.getValue(member.name).answer(request)
                    scheduler.after(random.nextInt(1000, 6000).milliseconds / 1000) { onReply(reply) }
                }
            },
            wallMillis = { clock.now().inWholeMilliseconds },
        )
        return TokenReserver(quorum, scheduler, noOpLog, random)
    }

    private fun HistoryState.answer(request: HistoryRequest): HistoryReply = when (request) {
        is HistoryRequest.Reserve -> {
            apply(HistoryEntry(tokens = request.entry))
            tokens(request.entry.program).let { HistoryReply.Reserved(it.total, it.digest) }
        }
        is HistoryRequest.Finish -> {
            request.tokens?.let { apply(HistoryEntry(tokens = it)) }
            HistoryReply.Finished
        }
        is HistoryRequest.Tokens -> HistoryReply.Tokens(tokens(request.program).entries.toList())
        else -> HistoryReply.Incomplete
    }

    /**
     * Starts [turns] turns at the same time, each at another daemon, and returns the granted reservations.
     * No turn ends.
     */
    private fun grantedOf(turns: Int, budget: Long, seed: Int): List<TokenEntry> {
        val states = members.associate { it.name to HistoryState() }
        val granted = ArrayList<TokenEntry>()
        var answers = 0
        repeat(turns) { turn ->
            val now = clock.now().inWholeMilliseconds
            val entry = TokenEntry(program, "turn-$turn", TURN_TOKENS, isSettled = false, reservedAtMillis = now)
            reserver(states, Random(seed * turns + turn)).reserve(entry, budget) { outcome, held ->
                answers++
                if (outcome == Reservation.Granted) granted.add(held)
            }
        }
        scheduler.advance(1.seconds)
        assertEquals(turns, answers, "seed=$seed")
        return granted
    }

    @Test
    fun `exactly one of several concurrent turns is granted when the budget covers one`() {
        repeat(SEEDS) { seed ->
            val granted = grantedOf(turns = 8, budget = TURN_TOKENS + 5L, seed)
            assertEquals(1, granted.size, "seed=$seed")
        }
    }

    @Test
    fun `concurrent turns are granted at least once and never beyond the budget`() {
        repeat(SEEDS) { seed ->
            val granted = grantedOf(turns = 8, budget = TURN_TOKENS * 4L, seed)
            assertTrue(granted.size in 1..4, "seed=$seed granted=${granted.size}")
        }
    }

    @Test
    fun `a spent budget is refused without retries`() {
        val states = members.associate { it.name to HistoryState() }
        val spent = TokenEntry(program, "earlier", tokens = 500, isSettled = true)
        states.values.forEach { it.apply(HistoryEntry(tokens = spent)) }
        var outcome: Reservation? = null
        val entry = TokenEntry(program, "turn", TURN_TOKENS, isSettled = false)
        reserver(states, Random(1)).reserve(entry, budget = 600) { result, _ -> outcome = result }
        scheduler.advance(30.milliseconds)
        assertIs<Reservation.BudgetSpent>(outcome)
    }

    private companion object {
        const val TURN_TOKENS = 571
        const val SEEDS = 300
    }
}
