package review2;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Programs whose first turns have inputs of 128 KiB, at a pace that the fleet serves with ease. */
final class LargeTurnsCase extends Scenario {
    private static final int INPUT_BYTES = TROUBLE ? 131_072 : 1024;
    private static final int CALLERS = 24;

    /** Turns of all callers together: less than the history daemons' disks of 390 MB hold. */
    private static final int MOST_TURNS = 2500;
    private static final AtomicInteger turns = new AtomicInteger();
    private static volatile boolean isOver;

    public static void main(String[] arguments) {
        run(arguments[0], LargeTurnsCase::play);
    }

    private static boolean play(Record record) throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            fleet.config(1);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                workers.add(new Worker("llm-" + i, fleet.register("llm-" + i, "llm", 110 + i, "")) {
                    @Override
                    boolean run(Http.Message request, String attempt, java.util.Map<String, String> headers,
                        java.io.OutputStream out, java.net.Socket socket) throws Exception {
                        // The bodies aren't looked at, and would only fill the memory of this stand-in.
                        Run last = runs.remove(runs.size() - 1);
                        runs.add(new Run(last.attempt(), last.uri(), java.util.Map.of(), new byte[0], last.atMillis()));
                        return super.run(request, attempt, headers, out, socket);
                    }
                });
            }
            fleet.start();
            record.add("3 entry daemons, 3 history daemons and 3 workers are ready; inputs of %d bytes", INPUT_BYTES);
            Tally tally = new Tally();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Caller caller = new Caller(fleet.entries.get(i % 3).callers());
                Thread thread = new Thread(() -> call(caller, tally, record));
                thread.start();
                threads.add(thread);
            }
            int ends = 0;
            long until = System.nanoTime() + 90_000_000_000L;
            while (System.nanoTime() < until && turns.get() < MOST_TURNS && ends < 3) {
                for (Fleet.Machine machine : fleet.ownEnds(false)) {
                    ends++;
                    record.add("the process of %s has ended by itself, status %d, after %d turns of all callers",
                        machine.name, machine.process.exitValue(), turns.get());
                }
                sleep(50);
            }
            sleep(500);
            isOver = true;
            for (Thread thread : threads) thread.join();
            addRuns(record, workers);
            long lost = tally.lost(workers);
            record.add("ends of processes by themselves: %d", ends);
            record.add("turns sent: %d; statuses, -1 for none: %s", turns.get(), tally.statuses);
            record.add("turns of kept channels that a worker ran and whose channel was closed without an answer: %d; "
                + "the rule allows 3", lost);
            return lost > 3;
        }
    }

    private static void call(Caller caller, Tally tally, Record record) {
        byte[] input = new byte[INPUT_BYTES];
        Arrays.fill(input, (byte) 'x');
        int answered = 0;
        while (!isOver) {
            turns.incrementAndGet();
            Caller.Outcome outcome = caller.call("POST /talk/x HTTP/1.1", input, "X-Program-Id", Caller.newId(),
                "X-Session-Id", "line-1", "X-Program-Deadline-Ms", "5000", "X-Token-Budget", "2304",
                "X-Token-Usage", INPUT_BYTES / 4 + ",72");
            record.detail("%s POST /talk/x: %d %s", outcome.attempt(), outcome.status(),
                outcome.problem() == null ? "" : outcome.problem());
            tally.add(outcome, answered);
            answered = outcome.status() < 0 ? 0 : answered + 1;
            sleep(outcome.status() < 0 ? 200 : 100);
        }
    }
}
