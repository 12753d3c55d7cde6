package io.jasmineford.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.jasmineford.standin.engine.EngineServer
import io.jasmineford.standin.platform.PlatformServer
import io.jasmineford.standin.service.ServiceServer
import kotlinx.coroutines.runBlocking

/** Parent of the stand-in commands. */
internal class StandInCommand : CliktCommand(name = "stand-in") {
    override fun help(context: Context) = "Run a stand-in for an external system on loopback."

    override fun run() = Unit
}

/** Runs the platform stand-in. */
internal class PlatformCommand : CliktCommand(name = "platform") {
    private val port by option("--port", help = "port on loopback; 0 selects a free one").int().default(0)

    override fun help(context: Context) = "Object API, VM list and weight store."

    override fun run() {
        val server = PlatformServer(port)
        echo("platform listens on 127.0.0.1:${runBlocking { server.start() }}")
        awaitShutdown { server.close() }
    }
}

/** Runs a model engine stand-in. */
internal class EngineCommand : CliktCommand(name = "engine") {
    private val port by option("--port", help = "port on loopback; 0 selects a free one").int().default(0)
    private val name by option("--name", help = "name in the engine's answers").default("engine")

    override fun help(context: Context) = "Model engine with chat completions and a prefix cache."

    override fun run() {
        val server = EngineServer(name, port)
        echo("engine $name listens on 127.0.0.1:${runBlocking { server.start() }}")
        awaitShutdown { server.close() }
    }
}

/** Runs a service stand-in. */
internal class ServiceCommand : CliktCommand(name = "service") {
    private val port by option("--port", help = "port on loopback; 0 selects a free one").int().default(0)

    override fun help(context: Context) = "Service with an idempotent lookup and recorded side effects."

    override fun run() {
        val server = ServiceServer(port)
        echo("service listens on 127.0.0.1:${runBlocking { server.start() }}")
        awaitShutdown { server.close() }
    }
}
