package io.jasmineford.standin.engine

/** A complete answer from which an interrupted stream can be resumed. */
internal data class StoredAnswer(
    val requestId: String?,
    val words: List<String>,
    val usage: EngineUsage,
)

/** The most recent answers by request id. */
internal class RecentAnswers(private val limit: Int = DEFAULT_LIMIT) {
    private val answers = LinkedHashMap<String, StoredAnswer>()

    /** Stores [answer], evicting the oldest one above [limit]. An answer without a request id can't be resumed. */
    fun add(answer: StoredAnswer) {
        val id = answer.requestId ?: return
        answers[id] = answer
        if (answers.size > limit) answers.remove(answers.keys.first())
    }

    /** Answer to [requestId], or null when none is stored. */
    fun find(requestId: String?): StoredAnswer? = answers[requestId]

    private companion object {
        const val DEFAULT_LIMIT = 1_000
    }
}
