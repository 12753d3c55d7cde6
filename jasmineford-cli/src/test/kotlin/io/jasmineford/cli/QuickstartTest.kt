package io.jasmineford.cli

import io.jasmineford.cli.quickstart.QuickstartRun
import kotlinx.coroutines.runBlocking
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class QuickstartTest {
    @Test
    fun `a program survives the crash of the VM that owns it, over real sockets`() {
        val steps = mutableListOf<String>()
        val release = File("../examples/league.yaml").readText()
        val report = runBlocking { QuickstartRun(release, onStep = steps::add).run() }
        assertEquals(emptyList(), report.violations, "expected no violation, actual ${report.violations} after $steps")
    }
}
