import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two full workers reject a request that may run once only. One of them sends a second copy of its rejection late, when
 * the same request has been sent to it again on the same channel and runs.
 */
final class LateRejection {
    private static final int REQUESTS = 40;
    private static final int WORK_MS = 74;

    /** Time after which the second copy of the rejection is sent. */
    private static final int COPY_AFTER_MS = 50;

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Set<String> REJECTED = ConcurrentHashMap.newKeySet();
    private static volatile boolean sendsCopies;

    /** Number of the request that finds the worker full; one in 40 is below the share of .03 of spoiled answers. */
    private static final int FULL_AT = 20;
    private static volatile String fullFor = "";

    private LateRejection() {
    }

    public static void main(String[] args) {
        Case.run(args, LateRejection::run);
    }

    private static boolean run(Fleet fleet, boolean hasTrouble) throws Exception {
        sendsCopies = hasTrouble;
        fleet.addMachines(3, 3);
        // One of two workers is faulty, a share of .5.
        Worker faulty = new Worker("w-faulty", fleet.ip(100), LateRejection::serve);
        Worker sound = new Worker("w-sound", fleet.ip(101), LateRejection::serve);
        fleet.register(faulty.id, "app", faulty.address(), "a", 6, "ready");
        fleet.register(sound.id, "app", sound.address(), "b", 6, "ready");
        fleet.configure(1, List.of(Fleet.route("post", "unsafe", "app", 3000, 400, 1, false, 0, false)),
            List.of(Fleet.service("app", 0)));
        fleet.start(40_000);
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId();
            if (i == FULL_AT) fullFor = id;
            Client.Result result = Client.call(fleet.get("edge-a1").callers(), id, "POST", "/post/1",
                ("result " + i).getBytes(StandardCharsets.UTF_8), 3000, "Api-Key: key-1", "X-Deadline-Ms: 3000");
            Record.line("the client gets for %s: %s", id, result);
            if (result.status == 200) answered++;
        }
        Thread.sleep(1000);
        List<String> twice = new ArrayList<>();
        for (Map.Entry<String, AtomicInteger> entry : RUNS.entrySet()) {
            if (entry.getValue().get() > 1) twice.add(entry.getKey() + " ran " + entry.getValue() + " times");
        }
        Record.line("%d of %d requests answered, run more than once: %s", answered, REQUESTS, twice);
        if (answered < REQUESTS / 2 || REJECTED.size() < 2) throw new IllegalStateException("the case wasn't reached");
        return twice.isEmpty();
    }

    private static void serve(Worker worker, Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        String id = request.header("X-Attempt-Id");
        if (id.equals(fullFor) && REJECTED.add(worker.id)) {
            Record.line("%s is full and rejects %s: 503 with X-Not-Executed", worker.id, id);
            byte[] rejection = Http.message("HTTP/1.1 503 Service Unavailable", new byte[0], "X-Attempt-Id: " + id,
                "X-Not-Executed: 1");
            write(out, rejection);
            if (sendsCopies && worker.id.equals("w-faulty")) {
                Http.daemon(() -> {
                    Thread.sleep(COPY_AFTER_MS);
                    Record.line("%s sends a second copy of the rejection of %s", worker.id, id);
                    write(out, rejection);
                });
            }
            return;
        }
        int run = RUNS.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        Record.line("%s runs %s, for the %d. time", worker.id, id, run);
        Thread.sleep(WORK_MS);
        write(out, Http.message("HTTP/1.1 200 OK", ("done " + run).getBytes(StandardCharsets.UTF_8),
            Worker.signed(request)));
        Record.line("%s answers %s: 200", worker.id, id);
    }

    private static void write(OutputStream out, byte[] bytes) throws IOException {
        synchronized (out) {
            out.write(bytes);
            out.flush();
        }
    }
}
