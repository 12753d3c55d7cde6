package io.jasmineford.gateway.log

import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/** Structured log with one line of `key=value` pairs for each event. */
fun interface EventLog {
    /** Logs [name] with [fields]; never blocks. */
    fun event(name: String, vararg fields: Pair<String, Any?>)
}

/**
 * Log that formats events in the calling thread and writes them in a separate one, through a bounded queue. Lines
 * beyond the queue's capacity or beyond [linesPerSecond] are dropped, and their number is logged.
 */
class AsyncEventLog(
    private val output: OutputStream,
    private val wallMillis: () -> Long,
    private val linesPerSecond: Int = LINES_PER_SECOND,
) : EventLog {
    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private var second = 0L
    private var linesInSecond = 0

    /** Starts the writer thread and returns this log. */
    fun start(): AsyncEventLog {
        Thread(::writeLines, "event-log").apply { isDaemon = true }.start()
        return this
    }

    @Synchronized
    override fun event(name: String, vararg fields: Pair<String, Any?>) {
        val now = wallMillis()
        if (now / MILLIS != second) {
            second = now / MILLIS
            linesInSecond = 0
        }
        val fits = linesInSecond++ < linesPerSecond && queue.offer(format(now, name, fields))
        if (!fits) dropped.incrementAndGet()
    }

    private fun format(now: Long, name: String, fields: Array<out Pair<String, Any?>>): String {
        val line = StringBuilder(LINE_CHARS).append("ts=").append(now).append(" event=").append(name)
        fields.forEach { (key, value) ->
            val text = value.toString().take(MAX_VALUE_CHARS)
            line.append(' ').append(key).append('=')
            if (text.none { it == ' ' || it == '"' || it < ' ' }) line.append(text) else line.append(quote(text))
        }
        return line.append('\n').toString()
    }

    private fun quote(text: String) = '"' + text.replace('"', '\'').replace('\n', ' ') + '"'

    private fun writeLines() {
        val batch = ArrayList<String>()
        while (true) {
            batch.add(queue.take())
            queue.drainTo(batch, BATCH_LINES)
            val droppedCount = dropped.getAndSet(0)
            if (droppedCount > 0) batch.add("ts=${wallMillis()} event=log-lines-dropped count=$droppedCount\n")
            output.write(batch.joinToString("").toByteArray())
            output.flush()
            batch.clear()
        }
    }

    private companion object {
        /** Lines that are queued while the reader of the output stalls. */
        const val QUEUE_LINES = 4096

        /** Lines that are written with one call. */
        const val BATCH_LINES = 256

        /** Keeps logging below a few percent of a daemon's CPU time. */
        const val LINES_PER_SECOND = 400
        const val LINE_CHARS = 200

        /** Paths and ids of callers are up to 16 KB long, and thousands of lines may be queued. */
        const val MAX_VALUE_CHARS = 512
        const val MILLIS = 1000
    }
}
