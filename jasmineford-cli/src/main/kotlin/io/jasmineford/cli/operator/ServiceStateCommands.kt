package io.jasmineford.cli.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.michaelbull.result.Result
import io.jasmineford.daemon.operator.PublishReply

/** Parent of the availability zone commands. */
internal class ZoneCommand : CliktCommand(name = "zone") {
    override fun help(context: Context) = "Take availability zones out of service and put them back."

    override fun run() = Unit
}

/** Parent of the entry VM commands. */
internal class VmCommand : CliktCommand(name = "vm") {
    override fun help(context: Context) = "Take entry VMs out of service and put them back."

    override fun run() = Unit
}

/** Puts a zone into or out of service. */
internal class ZoneDirectionCommand(private val direction: Direction) : ChangeCommand(name = direction.label) {
    private val zone by argument(help = "name of the availability zone")

    override fun help(context: Context) = when (direction) {
        Direction.IN -> "Put a zone back into service."
        Direction.OUT -> "Take a zone out of service: it gets no new work."
    }

    override suspend fun change(client: OperatorClient): Result<PublishReply, String> =
        client.zone(operator, zone, direction)
}

/** Puts an entry VM into or out of service. */
internal class VmDirectionCommand(private val direction: Direction) : ChangeCommand(name = direction.label) {
    private val vm by argument(help = "name of the entry VM")

    override fun help(context: Context) = when (direction) {
        Direction.IN -> "Put an entry VM back into service."
        Direction.OUT -> "Take an entry VM out of service: no caller is sent to it."
    }

    override suspend fun change(client: OperatorClient): Result<PublishReply, String> =
        client.vm(operator, vm, direction)
}
