package io.jasmineford.gateway.turn

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class HistoryExpiryTest {
    private var now = Duration.ZERO

    private inner class Copy(val name: String) {
        val state = HistoryState({ now })
        val expiry = HistoryExpiry(state)
        var isUp = true

        fun store(turn: TurnRecord) = state.apply(HistoryEntry(turn = turn))

        fun store(tokens: TokenEntry) = state.apply(HistoryEntry(tokens = tokens))

        fun expired() = expiry.expired(KEPT, MAX)

        fun answer(expired: ExpiredEntries) = HistoryReply.Copied(
            entries = emptyList(),
            next = 0,
            isEnd = false,
            status = HistoryStatus(1, isComplete = true),
            needed = expiry.needed(expired, KEPT),
        )
    }

    private val copies = listOf("a", "b", "c").map(::Copy)
    private val a = copies[0]
    private val b = copies[1]
    private val c = copies[2]

    private fun turn(id: String, previous: String? = null) =
        TurnRecord(id, "club", previous, ByteArray(1), ByteArray(1))

    private fun tokens(program: String, attempt: String) =
        TokenEntry(ProgramKey("club", program), attempt, tokens = 10, isSettled = true)

    /** [copy] asks the others that are up, and drops what it may. */
    private fun expire(copy: Copy, reached: List<Copy> = copies - copy) {
        val expired = copy.expired()
        val round = ExpiryRound(epoch = 1, majority = 2)
        reached.filter { it.isUp }.forEach { round.accept(it.answer(expired)) }
        if (round.hasMajority) copy.expiry.drop(expired, round.needed, KEPT)
    }

    @Test
    fun `turns and tokens are dropped after their time, and not before`() {
        copies.forEach {
            it.store(turn("t1"))
            it.store(tokens("p", "t1"))
        }
        now += KEPT
        copies.forEach(::expire)
        assertTrue(copies.all { it.state.size == 2 })
        now += 1.seconds
        copies.forEach(::expire)
        assertTrue(copies.all { it.state.size == 0 })
        assertTrue(copies.all { it.state.usedBytes == 0L })
    }

    @Test
    fun `a chain is kept as long as one of the turns that continue it`() {
        copies.forEach { it.store(turn("t1")) }
        now += KEPT
        copies.forEach { it.store(turn("t2", "t1")) }
        now += KEPT
        copies.forEach { it.store(turn("t3", "t2")) }
        now += KEPT
        copies.forEach(::expire)
        assertTrue(copies.all { it.state.chain("t3", "club").turns.size == 3 })
        now += 1.seconds
        copies.forEach(::expire)
        assertTrue(copies.all { it.state.size == 0 })
    }

    @Test
    fun `a turn is kept where the one that continues it was missed`() {
        listOf(a, b).forEach { it.store(turn("t1")) }
        now += KEPT
        listOf(b, c).forEach { it.store(turn("t2", "t1")) }
        now += 1.seconds
        expire(a, reached = listOf(c))
        assertEquals(1, a.state.size)
        now += KEPT
        repeat(5) {
            now += 10.seconds
            copies.forEach(::expire)
        }
        assertTrue(copies.all { it.state.size == 0 })
    }

    @Test
    fun `tokens of a program are kept where its newer ones were missed`() {
        listOf(a, b).forEach { it.store(tokens("p", "t1")) }
        now += KEPT
        listOf(b, c).forEach { it.store(tokens("p", "t2")) }
        now += 1.seconds
        expire(a, reached = listOf(c))
        assertEquals(1, a.state.size)
    }

    @Test
    fun `nothing is dropped without the answer of a majority of complete voters of the epoch`() {
        copies.forEach { it.store(turn("t1")) }
        now += KEPT + 1.seconds
        val expired = a.expired()
        val answer = b.answer(expired)
        fun hasMajority(reply: HistoryReply?) = ExpiryRound(1, majority = 2).apply { accept(reply) }.hasMajority
        fun withStatus(status: HistoryStatus?) =
            HistoryReply.Copied(emptyList(), 0, isEnd = false, status, answer.needed)
        assertTrue(hasMajority(answer))
        assertEquals(false, hasMajority(null))
        assertEquals(false, hasMajority(HistoryReply.Incomplete))
        assertEquals(false, hasMajority(withStatus(null)))
        assertEquals(false, hasMajority(withStatus(HistoryStatus(1, isComplete = false))))
        assertEquals(false, hasMajority(withStatus(HistoryStatus(2, isComplete = true))))
        val oldRelease = HistoryReply.Copied(emptyList(), 0, isEnd = false, HistoryStatus(1, isComplete = true))
        assertEquals(false, hasMajority(oldRelease))
    }

    /** Writes reach majorities only, and copies ask majorities only. */
    @Test
    fun `what is within its retention is at a copy of any majority, and all is dropped in the end`() {
        repeat(RUNS) { seed -> Schedule(seed).play() }
    }

    private inner class Schedule(seed: Int) {
        private val random = Random(seed)
        private val copies = listOf("a", "b", "c").map(::Copy)
        private val previous = HashMap<String, String?>()
        private val storedAt = HashMap<String, Duration>()
        private val programAt = HashMap<String, Duration>()
        private val used = HashMap<String, Int>()
        private val where = "seed $seed"

        fun play() {
            repeat(STEPS) { step ->
                now += 1.seconds * random.nextInt(12)
                when (random.nextInt(4)) {
                    0 -> storeTurn("t$step")
                    1 -> storeTokens("p${random.nextInt(3)}", "a$step")
                    else -> expireOne()
                }
                check()
            }
            now += KEPT + 1.seconds
            repeat(SETTLING_ROUNDS) {
                now += 10.seconds
                copies.forEach { copy -> expire(copy, copies - copy) }
            }
            copies.forEach { assertEquals(0, it.state.size, "$where: ${it.name} keeps ${it.state.turns.keys}") }
        }

        private fun majority() = copies.shuffled(random).take(2 + random.nextInt(2))

        private fun storeTurn(id: String) {
            // A turn that is continued has not been dropped, as calls within its retention find it.
            val current = storedAt.keys.filter { now - storedAt.getValue(it) <= KEPT }.sorted()
            val continued = if (random.nextInt(3) > 0) current.randomOrNull(random) else null
            previous[id] = continued
            storedAt[id] = now
            majority().forEach { it.store(turn(id, continued)) }
        }

        private fun storeTokens(program: String, attempt: String) {
            if (now - (programAt[program] ?: now) > KEPT) used.remove(program)
            programAt[program] = now
            used.merge(program, 10, Int::plus)
            majority().forEach { it.store(tokens(program, attempt)) }
        }

        private fun expireOne() {
            val copy = copies.random(random)
            expire(copy, (copies - copy).shuffled(random).take(random.nextInt(3)))
        }

        private fun check() = copies.forEach { lost ->
            val others = copies - lost
            storedAt.filterValues { now - it <= KEPT }.keys.forEach { id ->
                var next: String? = id
                while (next != null) {
                    val turn = next
                    assertTrue(others.any { turn in it.state.turns }, "$where: $turn of $id is lost with ${lost.name}")
                    next = previous[turn]
                }
            }
            programAt.filterValues { now - it <= KEPT }.keys.forEach { program ->
                val ledger = TokenLedger()
                val key = ProgramKey("club", program)
                others.flatMap { it.state.tokens(key).entries }.forEach(ledger::apply)
                assertTrue(ledger.total >= used.getValue(program), "$where: tokens of $program are lost")
            }
        }
    }

    private companion object {
        val KEPT = 60.seconds
        const val MAX = 1000
        const val RUNS = 1000
        const val STEPS = 80
        const val SETTLING_ROUNDS = 60
    }
}
