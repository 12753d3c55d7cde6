import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams begin while all workers have one software version. The first worker of a new version joins, and an edge
 * machine is killed while the streams run; the clients take them up again at another edge machine.
 */
final class ResumedVersions {
    private static final int STREAMS = 24;
    private static final int EVENTS = 18;

    private ResumedVersions() {
    }

    public static void main(String[] args) {
        Case.run(args, ResumedVersions::run);
    }

    private static boolean run(Fleet fleet, boolean hasTrouble) throws Exception {
        fleet.addMachines(7, 3);
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("w-" + i, fleet.ip(100 + i), ResumedVersions::serve);
            fleet.register(worker.id, "llm", worker.address(), "" + (char) ('a' + i % 3), 16, "ready");
        }
        fleet.configure(1, List.of(Fleet.route("draft", "stream", "llm", 3000, 200, 2, false, 60, true)),
            List.of(Fleet.service("llm", 12)));
        fleet.start(40_000);
        Thread.sleep(8000);
        Worker next = new Worker("w-new", fleet.ip(110), ResumedVersions::serve);
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Client.Result>> open = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            open.add(clients.submit(() -> stream(fleet.get("edge-a1"), number, null, 0)));
        }
        Thread.sleep(600);
        if (hasTrouble) {
            fleet.register(next.id, "llm", next.address(), "c", 16, "ready", "v2");
            Thread.sleep(500);
            fleet.get("edge-a1").kill();
            Http.daemon(() -> {
                Thread.sleep(3000);
                fleet.get("edge-a1").start();
            });
        }
        AtomicInteger takenUp = new AtomicInteger();
        AtomicInteger goOn = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger();
        List<Future<?>> all = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            Client.Result first = open.get(i).get();
            int events = first.body.split("\n\n", -1).length - 1;
            Record.line("the client gets for %s: %s, %d events", first.id, first, events);
            all.add(clients.submit(() -> {
                if (!first.isComplete && events > 0) {
                    takenUp.incrementAndGet();
                    Client.Result second = null;
                    // After a refusal the client waits for Retry-After (0.2 s) and tries again, twice.
                    for (int attempt = 0; attempt < 3 && (second == null || second.status == 503); attempt++) {
                        if (second != null) Thread.sleep(200);
                        second = stream(fleet.get("edge-b1"), number, first.id, events);
                        Record.line("%s takes up %s after event %d: %s", second.id, first.id, events, second);
                    }
                    if (second.status == 200) goOn.incrementAndGet();
                }
                return null;
            }));
            all.add(clients.submit(() -> {
                Client.Result other = stream(fleet.get("edge-c1"), 100 + number, null, 0);
                Record.line("%s begins anew: %s", other.id, other);
                if (other.status == 200) begun.incrementAndGet();
            }));
        }
        for (Future<?> each : all) each.get();
        clients.shutdownNow();
        Record.line("%d streams taken up again, %d go on; of %d new ones %d begin", takenUp.get(), goOn.get(), STREAMS,
            begun.get());
        if (hasTrouble && takenUp.get() < 12) throw new IllegalStateException("too few streams were broken off");
        return takenUp.get() < 12
            || goOn.get() / (double) takenUp.get() >= begun.get() / (double) STREAMS / 2;
    }

    private static Client.Result stream(Fleet.Machine edge, int number, String resumes, int after) {
        String program = "p-" + number;
        List<String> headers = new ArrayList<>(List.of("Api-Key: key-1", "X-Program-Id: " + program,
            "X-Session-Id: s-" + program, "X-Program-Deadline-Ms: 8000", "X-Token-Budget: 9000",
            "X-Token-Usage: 300,288", "X-Model: m", "X-Deadline-Ms: 3000"));
        if (resumes != null) headers.addAll(List.of("Resumes: " + resumes, "Last-Event-Id: " + after));
        return Client.call(edge.callers(), Client.newId(), "POST", "/draft/1", program.getBytes(), 3000,
            headers.toArray(new String[0]));
    }

    private static void serve(Worker worker, Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        String last = request.header("Last-Event-Id");
        Record.line("%s runs %s, after event %s", worker.id, request.header("X-Attempt-Id"), last);
        Worker.beginStream(request, out);
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            Thread.sleep(100);
            Worker.sendEvent(out, i, "word " + i);
        }
        Worker.endStream(out);
    }
}
