package io.jasmineford.bench

import kotlin.test.Test
import kotlin.test.assertEquals

class BoundsTest {
    @Test
    fun `every bounded measure of every scenario holds with the default seed`() {
        val broken = scenarios.flatMap { it.run(DEFAULT_SEED) }.filterNot { it.isWithinBound }
        assertEquals(emptyList(), broken, "expected no measure above its bound, actual $broken")
    }

    @Test
    fun `scenario names are unique`() {
        val names = scenarios.map { it.name }
        assertEquals(names.distinct(), names)
    }
}
