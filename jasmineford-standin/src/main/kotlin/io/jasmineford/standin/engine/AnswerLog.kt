package io.jasmineford.standin.engine

/** An answer that a broken stream can be resumed from. */
internal data class HeldAnswer(
    val requestId: String?,
    val words: List<String>,
    val usage: EngineUsage,
)

/** The newest answers by request id. */
internal class AnswerLog(private val limit: Int = DEFAULT_LIMIT) {
    private val answers = LinkedHashMap<String, HeldAnswer>()

    /** Holds [answer] until [limit] newer ones were held; an answer without a request id can't be resumed. */
    fun hold(answer: HeldAnswer) {
        val id = answer.requestId ?: return
        answers[id] = answer
        if (answers.size > limit) answers.remove(answers.keys.first())
    }

    /** Answer to [requestId], or null. */
    fun held(requestId: String?): HeldAnswer? = answers[requestId]

    private companion object {
        const val DEFAULT_LIMIT = 1_000
    }
}
