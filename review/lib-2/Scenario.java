package review2;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
abstract class Scenario {
    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    interface Body {
        /** Returns whether the rule was broken. */
        boolean run(Record record) throws Exception;
    }

    static void run(String folder, Body body) {
        int code = 2;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            record.add("TROUBLE=%s", TROUBLE ? "1" : "0");
            try {
                boolean isBroken = body.run(record);
                record.add(isBroken ? "RULE BROKEN" : "rule held");
                code = isBroken ? 1 : 0;
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes what the workers have run to the record. */
    static void addRuns(Record record, Iterable<Worker> workers) {
        for (Worker worker : workers) {
            for (Worker.Run run : worker.runs) record.detail("%s %s ran at %s", run.attempt(), run.uri(), worker.id);
        }
    }

    /** Counts how the requests of many callers end, and which of them were cut off after a worker had begun to run them. */
    static final class Tally {
        final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
        final Set<String> cut = ConcurrentHashMap.newKeySet();

        /** Takes note of [outcome] of a request on a channel on which [answered] requests had been answered before. */
        void add(Caller.Outcome outcome, int answered) {
            statuses.computeIfAbsent(outcome.status(), key -> new AtomicInteger()).incrementAndGet();
            if (outcome.status() < 0 && answered > 0) cut.add(outcome.attempt());
        }

        /** Requests of kept channels that [workers] ran and whose channels were closed without an answer. */
        long lost(Iterable<Worker> workers) {
            long lost = 0;
            for (Worker worker : workers) {
                for (Worker.Run run : worker.runs) if (cut.contains(run.attempt())) lost++;
            }
            return lost;
        }
    }
}
