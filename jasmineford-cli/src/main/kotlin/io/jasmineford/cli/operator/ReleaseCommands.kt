package io.jasmineford.cli.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import io.jasmineford.cli.EXIT_BAD_INPUT
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.checkReleaseNote
import io.jasmineford.core.config.parseReleaseNote
import io.jasmineford.daemon.operator.PublishReply

/** Parent of the release note commands. */
internal class ReleaseCommand : CliktCommand(name = "release") {
    override fun help(context: Context) = "Check and publish release notes."

    override fun run() = Unit
}

/** Checks a release note without publishing it. */
internal class ReleaseCheckCommand : OperatorCommand(name = "check") {
    private val file by argument(help = "release note in YAML").file(mustExist = true, canBeDir = false)
    private val isFirst by option("--first", help = "check as the first note of a new installation, without a daemon")
        .flag()

    override fun help(context: Context) =
        "Check a release note against the configuration in force, and list every error with its path."

    override fun run() {
        val current = if (isFirst) Configuration() else withClient { it.configuration(operator).orExit() }
        val checked = parseReleaseNote(file.readText())
            .mapError { listOf(it) }
            .flatMap { checkReleaseNote(it, current) }
            .getOrElse { throw CliktError(it.joinToString("\n"), statusCode = EXIT_BAD_INPUT) }
        echo(if (isJson) """{"generation":${checked.generation}}""" else "ok: would become generation ${checked.generation}")
    }
}

/** Publishes a release note and waits until it is in force. */
internal class ReleasePublishCommand : ChangeCommand(name = "publish") {
    private val file by argument(help = "release note in YAML").file(mustExist = true, canBeDir = false)

    override fun help(context: Context) =
        "Publish a release note, wait until it is in force on every VM, and list the VMs where it isn't."

    override suspend fun change(client: OperatorClient): Result<PublishReply, String> =
        client.publish(operator, file.readText())
}
