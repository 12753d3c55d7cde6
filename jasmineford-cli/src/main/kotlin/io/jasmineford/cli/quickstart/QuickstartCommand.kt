package io.jasmineford.cli.quickstart

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.coroutines.runBlocking
import java.io.File

/** Demonstrates an agent program on three entry daemons, one of which is killed during the run. */
internal class QuickstartCommand : CliktCommand(name = "quickstart") {
    private val release by option("--release", help = "release note to publish")
        .file(mustExist = true, canBeDir = false)
        .default(File("examples/league.yaml"))

    override fun help(context: Context) =
        "Start the stand-ins and three entry daemons in one process and run an agent program across a daemon crash."

    override fun run() {
        val report = runBlocking { QuickstartRun(release.readText()) { echo(it) }.run() }
        echo(report.table())
        report.violations.forEach { echo("FAULT: $it") }
        if (report.violations.isNotEmpty()) throw ProgramResult(statusCode = 1)
        echo("The history is complete, in order and contains no other program's messages.")
    }
}
