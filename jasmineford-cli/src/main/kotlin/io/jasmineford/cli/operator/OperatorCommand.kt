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

/** Exit code of a change that was accepted but is not in force everywhere yet, and of a fleet that is not healthy. */
internal const val EXIT_INCOMPLETE = 1

/** Exit code of a change that was refused. */
internal const val EXIT_REFUSED = 2

/** Exit code when no answer came. */
internal const val EXIT_NO_ANSWER = 3

/** A command that talks to an operator port. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name = name) {
    protected val operator by option("--operator", help = "host:port of any daemon's operator port", metavar = "HOST:PORT")
        .default("127.0.0.1:7112")
    protected val format by option("--format", help = "output format").choice("table", "json").default("table")

    protected val isJson: Boolean get() = format == "json"

    /** Runs [block] with a client. */
    protected fun <T> withClient(block: suspend (OperatorClient) -> T): T =
        OperatorClient().use { runBlocking { block(it) } }

    /** The value, or an exit with [EXIT_NO_ANSWER]. */
    protected fun <T> Result<T, String>.orExit(): T = getOrElse { throw CliktError(it, statusCode = EXIT_NO_ANSWER) }
}

/** A command that changes the configuration and waits until the change is in force. */
internal abstract class ChangeCommand(name: String) : OperatorCommand(name) {
    private val waitSeconds by option("--wait-seconds", help = "longest wait until the change is in force").int()
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
