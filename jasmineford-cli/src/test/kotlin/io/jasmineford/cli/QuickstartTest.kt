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
        val report = runBlocking { QuickstartRun(File("../examples/league.yaml").readText(), say = steps::add).run() }
        assertEquals(emptyList(), report.faults, "expected no fault, actual ${report.faults} after $steps")
    }
}
