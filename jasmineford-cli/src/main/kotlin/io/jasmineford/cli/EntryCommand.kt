package io.jasmineford.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import io.jasmineford.daemon.EntryDaemon
import io.jasmineford.daemon.PortTakenException
import io.jasmineford.daemon.settings.parseEntrySettings
import io.jasmineford.store.HttpObjectStore
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

/** Runs one entry daemon until the process receives a termination signal. */
internal class EntryCommand : CliktCommand(name = "entry") {
    private val settingsFile by option("--settings", help = "YAML settings of the daemon")
        .file(mustExist = true, canBeDir = false)
        .required()

    override fun help(context: Context) = "Run one entry daemon. SIGTERM starts a planned stop."

    override fun run() {
        val settings = parseEntrySettings(settingsFile.readText()).getOrElse { errors ->
            throw CliktError(errors.joinToString("\n"), statusCode = EXIT_BAD_INPUT)
        }
        val store = HttpObjectStore(settings.platformUrl, settings.storeTimeoutMs.milliseconds)
        val daemon = EntryDaemon(settings, store)
        try {
            runBlocking { daemon.start() }
        } catch (e: PortTakenException) {
            daemon.close()
            throw CliktError(e.message, cause = e, statusCode = EXIT_BAD_INPUT)
        }
        awaitShutdown { runBlocking { daemon.stop() } }
    }
}

/** Blocks until the JVM shuts down, then runs [stop] in a shutdown hook. */
internal fun awaitShutdown(stop: () -> Unit) {
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            stop()
            stopped.countDown()
        },
    )
    stopped.await()
}

/** Exit code for invalid arguments or input files. */
internal const val EXIT_BAD_INPUT = 2
