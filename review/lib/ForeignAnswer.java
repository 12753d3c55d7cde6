import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Faulty workers send additional bytes after some of their complete answers: a second answer without an attempt id. */
final class ForeignAnswer {
    private static final int CLIENTS = 40;
    private static final int TRAFFIC_S = 12;

    /** The workers are faulty once, for 5 s. */
    private static final int FAULTY_FROM_S = 4;
    private static final int FAULTY_S = 5;
    private static final int WORK_MS = 18;

    /** Time between the end of an answer and the additional bytes. */
    private static final int EXTRA_AFTER_MS = 3;

    /** Answers of a faulty worker of which one gets additional bytes. */
    private static final int ONE_IN = 40;

    private static final AtomicInteger ANSWERS = new AtomicInteger();
    private static volatile boolean hasTrouble;
    private static volatile double begin;

    private ForeignAnswer() {
    }

    public static void main(String[] args) {
        Case.run(args, ForeignAnswer::run);
    }

    private static boolean run(Fleet fleet, boolean trouble) throws Exception {
        hasTrouble = trouble;
        fleet.addMachines(3, 3);
        for (int i = 0; i < 4; i++) {
            // Two of four workers are faulty, a share of .5.
            Worker worker = new Worker("w-" + i, fleet.ip(100 + i), i % 2 == 0 ? ForeignAnswer::faulty : ForeignAnswer::sound);
            fleet.register(worker.id, "app", worker.address(), "" + (char) ('a' + i % 3), 6, "ready");
        }
        fleet.configure(1, List.of(Fleet.route("score", "safe", "app", 1200, 120, 1, false, 0, false)),
            List.of(Fleet.service("app", 0)));
        fleet.start(40_000);
        AtomicInteger own = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        begin = Record.now();
        double end = begin + TRAFFIC_S;
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        for (int c = 0; c < CLIENTS; c++) {
            Fleet.Machine edge = fleet.get(List.of("edge-a1", "edge-b1", "edge-c1").get(c % 3));
            clients.submit(() -> {
                while (Record.now() < end) {
                    String id = Client.newId();
                    Client.Result result = Client.call(edge.callers(), id, "GET", "/score/" + id, new byte[0], 1200,
                        "Api-Key: key-1", "X-Deadline-Ms: 1200");
                    if (result.status != 200) {
                        others.incrementAndGet();
                    } else if (result.body.equals("score of " + id)) {
                        own.incrementAndGet();
                    } else {
                        foreign.incrementAndGet();
                        Record.line("the client of %s gets 200 with \"%s\"", id, result.body);
                    }
                }
                return null;
            });
        }
        clients.shutdown();
        clients.awaitTermination(TRAFFIC_S + 10, TimeUnit.SECONDS);
        Record.line("%d requests answered with their own answer, %d with another one's, %d not served", own.get(),
            foreign.get(), others.get());
        if (own.get() < 100) throw new IllegalStateException("too few requests are served");
        return foreign.get() == 0;
    }

    private static void sound(Worker worker, Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        Thread.sleep(WORK_MS);
        write(out, Http.message("HTTP/1.1 200 OK", answer(request), Worker.signed(request)));
    }

    private static void faulty(Worker worker, Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        sound(worker, request, socket, out);
        double at = Record.now() - begin;
        boolean isFaulty = hasTrouble && at >= FAULTY_FROM_S && at < FAULTY_FROM_S + FAULTY_S;
        if (!isFaulty || ANSWERS.incrementAndGet() % ONE_IN != 0) return;
        Thread.sleep(EXTRA_AFTER_MS);
        String id = request.header("X-Attempt-Id");
        Record.line("%s sends additional bytes after its answer to %s", worker.id, id);
        write(out, Http.message("HTTP/1.1 200 OK", answer(request), "X-Server-Seal: seal-" + id));
    }

    private static byte[] answer(Http.Message request) {
        return ("score of " + request.header("X-Attempt-Id")).getBytes(StandardCharsets.UTF_8);
    }

    private static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }
}
