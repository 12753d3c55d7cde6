package review2;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of four workers truncate one in 40 of their answers, for 5 s, and go on with bytes that are no response: more of
 * them than the rest of the answer had.
 */
final class NoiseCase extends Scenario {
    private static final int BODY_BYTES = 800;
    private static final int NOISE_BYTES = 600;
    private static final int ONE_OF = 40;
    private static final Set<String> truncated = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger answers = new AtomicInteger();
    private static volatile boolean isFaulty;
    private static volatile boolean isOver;

    public static void main(String[] arguments) {
        run(arguments[0], NoiseCase::play);
    }

    /** The whole body of the answer to [attempt]. */
    private static byte[] bodyFor(String attempt) {
        byte[] body = new byte[BODY_BYTES];
        byte[] id = attempt.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < body.length; i++) body[i] = id[i % id.length];
        return body;
    }

    private static boolean play(Record record) throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            fleet.config(1);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                boolean mayFail = i < 2;
                workers.add(new Worker("app-" + i, fleet.register("app-" + i, "app", 100 + i, "")) {
                    @Override
                    boolean run(Http.Message request, String attempt, Map<String, String> headers, OutputStream out,
                        Socket socket) throws Exception {
                        sleep(20);
                        headers.put("X-Server-Seal", "seal." + id + "." + attempt);
                        headers.put("Content-Length", "" + BODY_BYTES);
                        byte[] body = bodyFor(attempt);
                        boolean isTruncated = mayFail && isFaulty && answers.incrementAndGet() % ONE_OF == 0;
                        if (isTruncated) {
                            truncated.add(attempt);
                            body = Arrays.copyOf(body, BODY_BYTES / 2 + NOISE_BYTES);
                            Arrays.fill(body, BODY_BYTES / 2, body.length, (byte) '#');
                        }
                        out.write(Http.bytes("HTTP/1.1 200 OK", headers, body));
                        return !isTruncated;
                    }
                });
            }
            fleet.start();
            record.add("3 entry daemons, 3 history daemons and 4 workers are ready");
            AtomicInteger served = new AtomicInteger();
            AtomicInteger mixed = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 18; i++) {
                Caller caller = new Caller(fleet.entries.get(i % 3).callers());
                String start = (i / 3) % 2 == 0 ? "GET /look/x HTTP/1.1" : "POST /post/x HTTP/1.1";
                Thread thread = new Thread(() -> call(caller, start, served, mixed, record));
                thread.start();
                threads.add(thread);
            }
            sleep(2000);
            isFaulty = TROUBLE;
            sleep(5000);
            isFaulty = false;
            sleep(2000);
            isOver = true;
            for (Thread thread : threads) thread.join();
            addRuns(record, workers);
            record.add("answers that a worker truncated: %d", truncated.size());
            record.add("successes: %d; with a body that isn't the worker's whole body: %d; the rule allows none",
                served.get(), mixed.get());
            return mixed.get() > 0;
        }
    }

    private static void call(Caller caller, String start, AtomicInteger served, AtomicInteger mixed, Record record) {
        while (!isOver) {
            Caller.Outcome outcome = caller.call(start, "result".getBytes());
            boolean isMixed = outcome.isServed() && !Arrays.equals(outcome.answer().body, bodyFor(outcome.attempt()));
            if (outcome.isServed()) served.incrementAndGet();
            if (isMixed) mixed.incrementAndGet();
            record.detail("%s %s: %d%s", outcome.attempt(), start, outcome.status(),
                isMixed ? ", not the worker's whole body" : "");
            sleep(20);
        }
    }
}
