package io.jasmineford.cli

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import io.jasmineford.cli.bench.benchCommand
import io.jasmineford.cli.operator.Direction
import io.jasmineford.cli.operator.ReleaseCheckCommand
import io.jasmineford.cli.operator.ReleaseCommand
import io.jasmineford.cli.operator.ReleasePublishCommand
import io.jasmineford.cli.operator.StatusCommand
import io.jasmineford.cli.operator.VmCommand
import io.jasmineford.cli.operator.VmDirectionCommand
import io.jasmineford.cli.operator.ZoneCommand
import io.jasmineford.cli.operator.ZoneDirectionCommand
import io.jasmineford.cli.placement.PlacementCommand
import io.jasmineford.cli.placement.PlacementExplainCommand
import io.jasmineford.cli.quickstart.QuickstartCommand
import io.jasmineford.cli.report.ExplainCommand
import io.jasmineford.cli.report.ExplainFailuresCommand
import io.jasmineford.cli.report.ExplainProgramCommand
import io.jasmineford.cli.report.ExplainRequestCommand
import io.jasmineford.cli.report.reportCommand

/** Root of the command tree. */
internal fun rootCommand(): CliktCommand = RootCommand().subcommands(
    QuickstartCommand(),
    EntryCommand(),
    benchCommand(),
    reportCommand(),
    ExplainCommand().subcommands(ExplainProgramCommand(), ExplainRequestCommand(), ExplainFailuresCommand()),
    StandInCommand().subcommands(PlatformCommand(), EngineCommand(), ServiceCommand()),
    ReleaseCommand().subcommands(ReleaseCheckCommand(), ReleasePublishCommand()),
    ZoneCommand().subcommands(Direction.entries.map { ZoneDirectionCommand(it) }),
    VmCommand().subcommands(Direction.entries.map { VmDirectionCommand(it) }),
    StatusCommand(),
    PlacementCommand().subcommands(PlacementExplainCommand()),
    SettingsCommand().subcommands(SettingsCheckCommand()),
    CompletionCommand(name = "completion", help = "Print a completion script for bash, zsh or fish."),
)

private class RootCommand : CliktCommand(name = "jasmineford") {
    override fun help(context: Context) = "Scheduler for agent programs."

    override fun run() = Unit
}
