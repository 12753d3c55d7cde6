package io.jasmineford.gateway.log

import io.netty.util.internal.logging.AbstractInternalLogger
import io.netty.util.internal.logging.InternalLogger
import io.netty.util.internal.logging.InternalLoggerFactory

/**
 * Loggers of Netty that write to [log]. Netty would else look for logging libraries and set up the JDK's logging, which
 * takes a noticeable part of a daemon's start. Messages below the level of information are dropped.
 */
class NettyLoggerFactory(private val log: EventLog) : InternalLoggerFactory() {
    override fun newInstance(name: String): InternalLogger = NettyLog(name, log)
}

/** Writes each message with its arguments as one event. */
@Suppress("TooManyFunctions") // The interface has six functions for each of five levels.
internal class NettyLog(name: String, private val log: EventLog) : AbstractInternalLogger(name) {
    private fun write(level: String, message: String?, vararg arguments: Any?) =
        log.event(
            "netty",
            "level" to level,
            "logger" to name(),
            "message" to message,
            "arguments" to arguments.toList(),
        )

    override fun isTraceEnabled() = false
    override fun trace(message: String?) = Unit
    override fun trace(format: String?, argument: Any?) = Unit
    override fun trace(format: String?, first: Any?, second: Any?) = Unit
    override fun trace(format: String?, vararg arguments: Any?) = Unit
    override fun trace(message: String?, cause: Throwable?) = Unit

    override fun isDebugEnabled() = false
    override fun debug(message: String?) = Unit
    override fun debug(format: String?, argument: Any?) = Unit
    override fun debug(format: String?, first: Any?, second: Any?) = Unit
    override fun debug(format: String?, vararg arguments: Any?) = Unit
    override fun debug(message: String?, cause: Throwable?) = Unit

    override fun isInfoEnabled() = true
    override fun info(message: String?) = write(INFO, message)
    override fun info(format: String?, argument: Any?) = write(INFO, format, argument)
    override fun info(format: String?, first: Any?, second: Any?) = write(INFO, format, first, second)
    override fun info(format: String?, vararg arguments: Any?) = write(INFO, format, *arguments)
    override fun info(message: String?, cause: Throwable?) = write(INFO, message, cause)

    override fun isWarnEnabled() = true
    override fun warn(message: String?) = write(WARNING, message)
    override fun warn(format: String?, argument: Any?) = write(WARNING, format, argument)
    override fun warn(format: String?, first: Any?, second: Any?) = write(WARNING, format, first, second)
    override fun warn(format: String?, vararg arguments: Any?) = write(WARNING, format, *arguments)
    override fun warn(message: String?, cause: Throwable?) = write(WARNING, message, cause)

    override fun isErrorEnabled() = true
    override fun error(message: String?) = write(ERROR, message)
    override fun error(format: String?, argument: Any?) = write(ERROR, format, argument)
    override fun error(format: String?, first: Any?, second: Any?) = write(ERROR, format, first, second)
    override fun error(format: String?, vararg arguments: Any?) = write(ERROR, format, *arguments)
    override fun error(message: String?, cause: Throwable?) = write(ERROR, message, cause)

    private companion object {
        const val INFO = "info"
        const val WARNING = "warning"
        const val ERROR = "error"
    }
}
