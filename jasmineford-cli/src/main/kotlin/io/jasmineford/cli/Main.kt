package io.jasmineford.cli

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import kotlin.system.exitProcess

/** Entry point of the command line. Invalid arguments give exit code 2, so that scripts can tell them from a result. */
fun main(args: Array<String>) {
    val command = rootCommand()
    try {
        command.parse(args)
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        exitProcess(if (e is UsageError) EXIT_BAD_INPUT else e.statusCode)
    }
}
