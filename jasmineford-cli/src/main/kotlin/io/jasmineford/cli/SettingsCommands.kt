package io.jasmineford.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import io.jasmineford.daemon.settings.parseEntrySettings

/** Parent of the settings commands. */
internal class SettingsCommand : CliktCommand(name = "settings") {
    override fun help(context: Context) = "Check settings of entry daemons."

    override fun run() = Unit
}

/** Checks a settings file. */
internal class SettingsCheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "YAML settings of an entry daemon").file(mustExist = true, canBeDir = false)

    override fun help(context: Context) =
        "Check a settings file and list every error with its key, value and accepted range."

    override fun run() {
        val settings = parseEntrySettings(file.readText())
            .getOrElse { throw CliktError(it.joinToString("\n"), statusCode = EXIT_BAD_INPUT) }
        echo("ok: VM ${settings.vm} in zone ${settings.zone}")
    }
}
