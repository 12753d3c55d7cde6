package io.jasmineford.cli.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.jasmineford.daemon.operator.PublishReply
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

/** Exit code for an accepted change that is not active on every VM yet, and for an unhealthy fleet. */
internal const val EXIT_INCOMPLETE = 1

/** Exit code for a rejected change. */
internal const val EXIT_REFUSED = 2

/** Exit code when no daemon answered. */
internal const val EXIT_NO_ANSWER = 3

/** Base of the commands that call an operator port. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name = name) {
    protected val operator by option("--operator", help = "host:port of any daemon's operator port", metavar = "HOST:PORT")
        .default("127.0.0.1:7112")
    protected val format by option("--format", help = "output format").choice("table", "json").default("table")

    protected val isJson: Boolean get() = format == "json"

    /** Runs [block] with a client that is closed afterwards. */
    protected fun <T> withClient(block: suspend (OperatorClient) -> T): T =
        OperatorClient().use { runBlocking { block(it) } }

    /** The value; ends the command with [EXIT_NO_ANSWER] on an error. */
    protected fun <T> Result<T, String>.orExit(): T = getOrElse { throw CliktError(it, statusCode = EXIT_NO_ANSWER) }
}

/** Base of the commands that change the configuration and wait until the change is active on every VM. */
internal abstract class ChangeCommand(name: String) : OperatorCommand(name) {
    private val waitSeconds by option("--wait-seconds", help = "maximum wait until the change is in force").int()
        .default(DEFAULT_WAIT_SECONDS)

    /** Makes the change. */
    protected abstract suspend fun change(client: OperatorClient): Result<PublishReply, String>

    override fun run() = withClient { client ->
        val reply = change(client).orExit()
        if (!reply.isAccepted) throw CliktError(reply.errors.joinToString("\n"), statusCode = EXIT_REFUSED)
        val report = client.awaitInForce(operator, reply.generation, waitSeconds.seconds)
        echo(if (isJson) Json.encodeToString(report) else describe(report))
        if (report.missing.isNotEmpty()) throw ProgramResult(EXIT_INCOMPLETE)
    }

    private fun describe(report: RolloutReport): String = buildString {
        append("generation ${report.generation} is in force on ${report.inForce.joinToString().ifEmpty { "no VM" }}")
        if (report.missing.isNotEmpty()) append("; not on ${report.missing.joinToString()}")
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 10
    }
}
