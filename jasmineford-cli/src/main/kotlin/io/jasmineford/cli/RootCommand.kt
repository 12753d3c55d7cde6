package io.jasmineford.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import io.jasmineford.cli.bench.benchCommand
import io.jasmineford.cli.quickstart.QuickstartCommand

/** The whole command line. */
internal fun rootCommand(): CliktCommand = RootCommand().subcommands(
    QuickstartCommand(),
    EntryCommand(),
    benchCommand(),
    StandInCommand().subcommands(PlatformCommand(), EngineCommand(), ServiceCommand()),
)

private class RootCommand : CliktCommand(name = "jasmineford") {
    override fun help(context: Context) = "Scheduler for agent programs."

    override fun run() = Unit
}
