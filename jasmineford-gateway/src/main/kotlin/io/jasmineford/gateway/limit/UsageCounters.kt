package io.jasmineford.gateway.limit

/**
 * Cumulative counts of calls that neighbours report, of which only what is new to this daemon is charged.
 *
 * The usage of a daemon may reach this one through several neighbours, one after the other. A counter is therefore
 * continued only as long as what it counts has not reached this daemon in another way.
 */
internal class UsageCounters {
    private val counts = HashMap<Counter, Counts>()
    private val heardProcesses = HashSet<Pair<String, Long>>()

    /** Counter of calls at a neighbour, of the process [incarnation]. */
    private data class Counter(val source: UsageSource, val incarnation: Long, val coversAll: Boolean)

    /** Counts of a counter by account. Once they were complete, an account that is missing had no calls. */
    internal class Counts(val epoch: Int) {
        val byAccount = HashMap<String, Long>()
        var isComplete = false
    }

    private val UsageReport.counter: Counter get() = Counter(source, incarnation, coversAll)

    /** Reads [report]; the reader is used before the next report is read. */
    fun read(report: UsageReport): Reader {
        val counter = report.counter
        // What another counter of the daemon has counted is in this one; so it is with those that cover all and a part.
        counts.keys.removeIf {
            it != counter && (it.coversAll || report.coversAll || it.source.daemon == report.source.daemon)
        }
        val known = counts[counter]?.takeIf { it.epoch == report.epoch }
            ?: Counts(report.epoch).also { counts[counter] = it }
        val isNewProcess = heardProcesses.add(report.source.daemon to report.incarnation) && report.isNewSource
        val reader = Reader(known, chargesFirst = known.isComplete || (report.isComplete && isNewProcess))
        if (report.isComplete) known.isComplete = true
        return reader
    }

    /** Reads the usage in one report; [chargesFirst] tells whether an account's first one is charged. */
    class Reader internal constructor(private val counts: Counts, private val chargesFirst: Boolean) {
        /**
         * Number of calls of [use] that were not charged before. Of an account's first report all of them are if the
         * neighbour is new or had none before, and none if the neighbour has counted them for long and only now reports
         * to this daemon.
         */
        fun charge(use: AccountUsage): Long {
            val before = counts.byAccount.put(use.account, use.admitted)
            return if (before != null) use.admitted - before else use.admitted.takeIf { chargesFirst } ?: 0
        }
    }
}
