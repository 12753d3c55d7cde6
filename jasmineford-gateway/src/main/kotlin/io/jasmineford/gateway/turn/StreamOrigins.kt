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
 * A software version at which a stream began.
 *
 * @property number counts the records of one attempt of a caller, from 1 on.
 */
data class RecordedOrigin(val version: String, val number: Int) {
    /** Stored form; that of the first record is the version alone, as in the release before. */
    internal val text: String get() = if (number == 1) version else "@$number@$version"

    internal companion object {
        private val NUMBERED = Regex("@([0-9]{1,9})@(.*)", RegexOption.DOT_MATCHES_ALL)

        fun parse(text: String): RecordedOrigin {
            val (number, version) = NUMBERED.matchEntire(text)?.destructured ?: return RecordedOrigin(text, number = 1)
            return RecordedOrigin(version, number.toInt())
        }
    }
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

    /**
     * Records that [attempt] of [program] began at [origin]; [onDone] gets whether a majority has it on disk.
     *
     * An attempt of a caller is sent again while none of its events has arrived, and may then begin at another version:
     * its latest record applies.
     */
    fun record(program: ProgramKey, attempt: String, origin: RecordedOrigin, onDone: (Boolean) -> Unit) {
        val entry = TokenEntry(program, prefixOf(attempt) + origin.text, tokens = 0, isSettled = true)
        quorum.finish(entry, turn = null, onDone)
    }

    /** Reads at which version [attempt] of [program] began. */
    fun find(program: ProgramKey, attempt: String, onDone: (StreamOrigin) -> Unit) =
        quorum.ledger(program) { ledger ->
            val prefix = prefixOf(attempt)
            val origins = ledger?.entries.orEmpty().map { it.attempt }.filter { it.startsWith(prefix) }
                .map { RecordedOrigin.parse(it.removePrefix(prefix)) }
            val latest = origins.filter { origin -> origins.none { it.number > origin.number } }
            onDone(
                when {
                    ledger == null || latest.size > 1 -> StreamOrigin.Unknown
                    latest.isEmpty() -> StreamOrigin.NotRecorded
                    else -> StreamOrigin.Recorded(latest.single().version)
                },
            )
        }

    private fun prefixOf(attempt: String) = "$attempt@"
}
