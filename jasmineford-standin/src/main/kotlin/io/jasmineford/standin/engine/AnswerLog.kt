package io.jasmineford.standin.engine

/** A complete answer from which an interrupted stream can be resumed. */
internal data class HeldAnswer(
    val requestId: String?,
    val words: List<String>,
    val usage: EngineUsage,
)

/** The most recent answers by request id. */
internal class AnswerLog(private val limit: Int = DEFAULT_LIMIT) {
    private val answers = LinkedHashMap<String, HeldAnswer>()

    /** Stores [answer], evicting the oldest one above [limit]. An answer without a request id can't be resumed. */
    fun hold(answer: HeldAnswer) {
        val id = answer.requestId ?: return
        answers[id] = answer
        if (answers.size > limit) answers.remove(answers.keys.first())
    }

    /** Answer to [requestId], or null when none is stored. */
    fun held(requestId: String?): HeldAnswer? = answers[requestId]

    private companion object {
        const val DEFAULT_LIMIT = 1_000
    }
}
