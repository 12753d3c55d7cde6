package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One of three workers names a large Server-Limit while callers use kept channels to all entry daemons. */
final class ServerLimitCase extends Scenario {
    private static final String LIMIT = "2147483647";
    private static final int CALLERS = 30;
    private static volatile boolean isNamed;
    private static volatile boolean isOver;

    public static void main(String[] arguments) {
        run(arguments[0], ServerLimitCase::play);
    }

    private static boolean play(Record record) throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            fleet.config(1);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                boolean isInNeed = i == 0;
                workers.add(new Worker("app-" + i, fleet.register("app-" + i, "app", 100 + i, "")) {
                    @Override
                    Map<String, String> moreHeaders(Http.Message request) {
                        return isInNeed && isNamed ? Map.of("Server-Limit", LIMIT) : Map.of();
                    }

                    @Override
                    int workMillis(Http.Message request) {
                        return 60;
                    }
                });
            }
            fleet.start();
            record.add("3 entry daemons, 3 history daemons and 3 workers are ready");
            Tally tally = new Tally();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Caller caller = new Caller(fleet.entries.get(i % 3).callers());
                Thread thread = new Thread(() -> call(caller, tally, record));
                thread.start();
                threads.add(thread);
            }
            int ends = 0;
            for (int step = 0; step < 200; step++) {
                if (step == 50 && TROUBLE) {
                    isNamed = true;
                    record.add("from now on app-0 names Server-Limit: %s in its answers", LIMIT);
                }
                for (Fleet.Machine machine : fleet.ownEnds(false)) {
                    ends++;
                    int status = machine.process.exitValue();
                    record.add("the process of %s has ended by itself, status %d", machine.name, status);
                    // The platform starts it again after a short delay.
                    new Thread(() -> {
                        sleep(500);
                        try {
                            fleet.start(machine);
                        } catch (Exception e) {
                            record.add("%s", e);
                        }
                    }).start();
                }
                sleep(100);
            }
            isOver = true;
            for (Thread thread : threads) thread.join();
            addRuns(record, workers);
            long lost = tally.lost(workers);
            record.add("ends of processes by themselves: %d", ends);
            record.add("statuses, -1 for none: %s", tally.statuses);
            record.add("requests of kept channels that a worker ran and whose channel was closed without an answer: %d "
                + "(of them at the two workers that named nothing: %d); the rule allows 3", lost,
                tally.lost(workers.subList(1, 3)));
            return lost > 3;
        }
    }

    private static void call(Caller caller, Tally tally, Record record) {
        int answered = 0;
        while (!isOver) {
            Caller.Outcome outcome = caller.call("POST /post/x HTTP/1.1", "result".getBytes());
            record.detail("%s POST /post/x: %d %s", outcome.attempt(), outcome.status(),
                outcome.problem() == null ? "" : outcome.problem());
            tally.add(outcome, answered);
            answered = outcome.status() < 0 ? 0 : answered + 1;
            sleep(outcome.status() < 0 ? 200 : 50);
        }
    }
}
