package io.jasmineford.gateway.turn

/** Software version at which a stream began, as a majority of the history daemons knows it. */
sealed interface StreamOrigin {
    /** The stream began at [version]. */
    data class Recorded(val version: String) : StreamOrigin

    /** No version was recorded. */
    data object NotRecorded : StreamOrigin

    /** Too few history daemons replied, or a record that was not confirmed contradicts another one. */
    data object Unknown : StreamOrigin
}

/**
 * Records at which software version streams began, so that any daemon can go on with them at that version.
 *
 * A record is a settled entry without tokens among those of the stream's program, and is stored, copied and kept as
 * they are.
 */
class StreamOrigins(private val quorum: HistoryQuorum) {
    /** Whether a group of history daemons is known that keeps the records. */
    val isKept: Boolean get() = quorum.hasGroup

    /** Records that [attempt] of [program] began at [version]; [onDone] gets whether a majority has it on disk. */
    fun record(program: ProgramKey, attempt: String, version: String, onDone: (Boolean) -> Unit) {
        val entry = TokenEntry(program, prefixOf(attempt) + version, tokens = 0, isSettled = true)
        quorum.finish(entry, turn = null, onDone)
    }

    /** Reads at which version [attempt] of [program] began. */
    fun find(program: ProgramKey, attempt: String, onDone: (StreamOrigin) -> Unit) =
        quorum.ledger(program) { ledger ->
            val prefix = prefixOf(attempt)
            val versions = ledger?.entries.orEmpty().map { it.attempt }.filter { it.startsWith(prefix) }
            onDone(
                when {
                    ledger == null || versions.size > 1 -> StreamOrigin.Unknown
                    versions.isEmpty() -> StreamOrigin.NotRecorded
                    else -> StreamOrigin.Recorded(versions.single().removePrefix(prefix))
                },
            )
        }

    private fun prefixOf(attempt: String) = "$attempt@"
}
