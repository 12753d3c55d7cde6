package io.jasmineford.gateway.load

import org.junit.jupiter.api.TestInfo
import kotlin.test.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against daemons that go on rejecting load that fits after an overload has ended. */
class RecoveryTest {
    /** Load that fits goes on for 6 s after an overload that ends at [end], and is served from 2 s later on. */
    private fun LoadModel.assertRecovers(end: Duration) {
        arrivals(end, end + 6.seconds, CAPACITY * 0.5)
        run(end + 10.seconds)
        assertShare(0.99, calls.between(end + 2.seconds, end + 6.seconds))
    }

    @Test
    fun `load that fits is served again two seconds after twice the capacity`(test: TestInfo) = checkSeeds(test) {
        twiceTheCapacity()
        assertRecovers(20.seconds)
    }

    @Test
    fun `load that fits is served again two seconds after a burst`(test: TestInfo) = checkSeeds(test) {
        burst()
        run(20.seconds)
        assertShare(0.99, calls.between(9.seconds, 15.seconds))
    }

    @Test
    fun `load that fits is served again two seconds after a wave`(test: TestInfo) = checkSeeds(test) {
        wave()
        assertRecovers(20.seconds)
    }

    @Test
    fun `load that fits is served again two seconds after a hot account`(test: TestInfo) = checkSeeds(test) {
        hotAccount(listOf("b", "c", "d"))
        assertRecovers(20.seconds)
    }

    @Test
    fun `load that fits is served again two seconds after daemons are back from a kill`(test: TestInfo) =
        checkSeeds(test, costFactor = ::coldCost) {
            backFromKill()
            assertRecovers(10.seconds)
        }
}
