package io.jasmineford.cli.report

import com.github.ajalt.clikt.core.CliktError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.jasmineford.cli.operator.EXIT_NO_ANSWER
import io.jasmineford.cli.operator.OperatorClient
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds

/** Replies of all daemons; [problems] has one line for each daemon that returned none. */
internal class FleetAnswers<T>(val found: List<T>, val problems: List<String>)

/** Calls the daemon at [operator] and all other daemons that it knows. */
internal fun <T> askFleet(
    operator: String,
    question: suspend OperatorClient.(address: String) -> Result<T, String>,
): FleetAnswers<T> = runBlocking {
    OperatorClient(ANSWER_TIMEOUT).use { client ->
        val peers = client.status(operator).getOrThrow().peers.filterNot { it.isRevoked }.map { it.operatorAddress }
        val answers = (listOf(operator) + peers).distinct().map { client.question(it) }
        FleetAnswers(
            found = answers.mapNotNull { answer -> answer.fold(success = { it }, failure = { null }) },
            problems = answers.mapNotNull { answer -> answer.fold(success = { null }, failure = { it }) },
        )
    }
}

/** The value; ends the command with the error text and [EXIT_NO_ANSWER] on an error. */
internal fun <T> Result<T, String>.getOrThrow(): T = getOrElse { throw CliktError(it, statusCode = EXIT_NO_ANSWER) }

private val ANSWER_TIMEOUT = 3.seconds
