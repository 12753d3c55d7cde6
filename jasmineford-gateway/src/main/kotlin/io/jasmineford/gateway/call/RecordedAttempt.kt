package io.jasmineford.gateway.call

import io.netty.buffer.ByteBuf
import kotlin.time.Duration

/**
 * Holds back a successful response until the software version that began its stream is recorded.
 *
 * @param record records the version and tells whether that succeeded.
 * @param isCurrent whether the call still waits for this attempt.
 * @param abort closes the attempt's connection.
 */
internal class RecordedAttempt(
    private val handler: AttemptHandler,
    private val record: (onDone: (Boolean) -> Unit) -> Unit,
    private val isCurrent: () -> Boolean,
    private val abort: () -> Unit,
) : AttemptHandler {
    private val held = ArrayList<ByteBuf>()
    private var heldBytes = 0
    private var isRecording = false
    private var end: () -> Unit = {}

    override fun notSent(reason: String) = handler.notSent(reason)

    override fun notExecuted(status: Int) = handler.notExecuted(status)

    override fun head(head: ResponseHead) {
        if (!head.isSuccess) {
            handler.head(head)
            return
        }
        isRecording = true
        record { isStored -> recorded(head, isStored) }
    }

    override fun data(data: ByteBuf) {
        if (!isRecording) {
            handler.data(data)
            return
        }
        heldBytes += data.readableBytes()
        held += data.copy()
        if (heldBytes > MAX_HELD_BYTES) {
            abort()
            overflowed("response holds more than $MAX_HELD_BYTES bytes")
        } else {
            handler.heldBack(heldBytes)
        }
    }

    override fun overflowed(reason: String) {
        held.forEach { it.release() }
        held.clear()
        handler.heldBack(0)
        afterData { handler.overflowed(reason) }
    }

    override fun end(took: Duration) = afterData { handler.end(took) }

    override fun broken(reason: String) = afterData { handler.broken(reason) }

    override fun abandoned(reason: String) = afterData { handler.abandoned(reason) }

    private fun afterData(action: () -> Unit) {
        if (isRecording) end = action else action()
    }

    private fun recorded(head: ResponseHead, isStored: Boolean) {
        isRecording = false
        val isPassedOn = isStored && isCurrent()
        if (isPassedOn) handler.head(head)
        val parts = held.toList()
        held.clear()
        parts.forEach { data ->
            if (isPassedOn && isCurrent()) handler.data(data)
            data.release()
        }
        when {
            !isCurrent() -> Unit
            isStored -> end()
            else -> {
                abort()
                handler.abandoned("the version of the stream could not be recorded")
            }
        }
    }

    private companion object {
        /** Largest part of a response that is held back; a faulty endpoint may send without end. */
        const val MAX_HELD_BYTES = 1024 * 1024
    }
}
