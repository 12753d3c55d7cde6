package io.jasmineford.cli.report

import com.github.ajalt.clikt.core.CliktError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.jasmineford.cli.operator.EXIT_NO_ANSWER
import io.jasmineford.cli.operator.OperatorClient
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds

/** Replies of all daemons; [errors] has one line for each daemon that returned none. */
internal class FleetReplies<T>(val replies: List<T>, val errors: List<String>)

/** Calls the daemon at [operator] and all other daemons that it knows. */
internal fun <T> queryFleet(
    operator: String,
    request: suspend OperatorClient.(address: String) -> Result<T, String>,
): FleetReplies<T> = runBlocking {
    OperatorClient(REPLY_TIMEOUT).use { client ->
        val peers = client.status(operator).getOrExit().peers.filterNot { it.isRevoked }.map { it.operatorAddress }
        val results = (listOf(operator) + peers).distinct().map { client.request(it) }
        FleetReplies(
            replies = results.mapNotNull { result -> result.fold(success = { it }, failure = { null }) },
            errors = results.mapNotNull { result -> result.fold(success = { null }, failure = { it }) },
        )
    }
}

/** The value; ends the command with the error text and [EXIT_NO_ANSWER] on an error. */
internal fun <T> Result<T, String>.getOrExit(): T = getOrElse { throw CliktError(it, statusCode = EXIT_NO_ANSWER) }

private val REPLY_TIMEOUT = 3.seconds
