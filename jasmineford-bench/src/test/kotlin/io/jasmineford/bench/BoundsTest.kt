package io.jasmineford.bench

import com.github.michaelbull.result.getOrElse
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail

class BoundsTest {
    @Test
    fun `every measure is within its bound except the known failures, which still fail`() {
        val file = generateSequence(File("").absoluteFile) { it.parentFile }
            .map { it.resolve("KNOWN-RED.txt") }
            .first { it.exists() }
        val known = parseKnownFailures(file.readText()).getOrElse { fail("$file: $it") }
        val report = checkBounds(scenarios, known)
        report.expectedFailures.forEach { println("known red: ${it.path} seed ${it.seed}: ${it.value} ${it.unit}, bound ${it.bound}") }
        known.filter { it.test != null }.forEach { println("known red: ${it.test} seed ${it.seed}: ${it.seen}") }
        assertTrue(report.isAsExpected, "expected only listed failures and no listed success, actual $report")
    }

    @Test
    fun `scenario names are unique`() {
        val names = scenarios.map { it.name }
        assertEquals(names.distinct(), names)
    }
}
