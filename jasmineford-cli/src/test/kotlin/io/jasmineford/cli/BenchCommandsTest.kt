package io.jasmineford.cli

import com.github.ajalt.clikt.testing.test
import io.jasmineford.bench.Measurement
import io.jasmineford.bench.toLine
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against output that scripts can't parse, and against input errors that return the exit code of a bound. */
class BenchCommandsTest {
    @Test
    fun `invalid input gives one line of error and exit code 2`() {
        val calls = listOf(
            "bench run no-such-scenario",
            "bench run",
            "bench capacity no-such-probe",
            "bench compare ${fileOf("no json")} ${fileOf("")}",
            "bench live --daemons 10.0.0.1:1 --operators 127.0.0.1:1 --engines 127.0.0.1:1 --services 127.0.0.1:1 --key k",
        )
        for (call in calls) {
            val result = rootCommand().test(call)
            assertEquals(EXIT_BAD_INPUT, result.statusCode, "$call: ${result.output}")
            assertEquals(1, result.stderr.trim().lines().size, "$call: expected one line, actual ${result.stderr}")
            assertEquals("", result.stdout)
        }
    }

    @Test
    fun `compare lists regressions first, with the size of the change`() {
        fun line(measure: String, value: Double) = Measurement("s", "v", measure, value, "s", bound = 2.0, seed = 1).toLine()
        val old = fileOf(line("a", 2.0) + "\n" + line("b", 1.0) + "\n" + line("gone", 1.0))
        val new = fileOf(line("a", 1.0) + "\n" + line("b", 3.0) + "\n" + line("new", 1.0))
        val rows = rootCommand().test("bench compare $old $new --format json").stdout.trim().lines()
        assertEquals(listOf("WORSE", "BETTER", "ADDED", "REMOVED"), rows.map { it.substringAfter("\"verdict\":\"").substringBefore('"') })
        assertContains(rows.first(), "\"changePercent\":200.0,\"isBoundExceeded\":true")
    }

    private fun fileOf(text: String) = createTempFile(suffix = ".jsonl").apply { writeText(text) }
}
