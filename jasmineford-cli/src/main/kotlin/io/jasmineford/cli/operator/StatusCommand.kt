package io.jasmineford.cli.operator

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import kotlinx.serialization.json.Json

/** Shows the status of all entry VMs; the exit code is [EXIT_INCOMPLETE] when one has no valid lease. */
internal class StatusCommand : OperatorCommand(name = "status") {
    override fun help(context: Context) = "Show every entry VM that the given daemon knows."

    override fun run() {
        val vms = withClient { it.fleet(operator) }
            ?: throw CliktError("operator port $operator does not answer", statusCode = EXIT_NO_ANSWER)
        if (isJson) echo(Json.encodeToString(vms)) else printTable(vms)
        if (vms.any { it.status?.isLeaseValid != true }) throw ProgramResult(EXIT_INCOMPLETE)
    }

    private fun printTable(vms: List<VmReport>) {
        echo(ROW.format("VM", "ZONE", "OPERATOR", "STATE", "GENERATION", "SHARDS", "PROGRAMS"))
        for (vm in vms) {
            val status = vm.status
            echo(
                ROW.format(
                    vm.vm,
                    status?.zone ?: "-",
                    vm.operatorAddress,
                    stateOf(vm),
                    status?.generation ?: "-",
                    status?.shards ?: "-",
                    status?.programs ?: "-",
                ),
            )
        }
    }

    private fun stateOf(vm: VmReport): String = when {
        vm.status == null -> "no answer"
        vm.status.isLeaving -> "leaving"
        vm.status.isLeaseValid -> "serving"
        else -> "no lease"
    }

    private companion object {
        const val ROW = "%-16s %-14s %-22s %-10s %10s %7s %9s"
    }
}
