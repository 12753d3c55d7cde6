import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Turns are kept for ten seconds, and programs go on with new ones. A tenant sends many times its usual for a while. Then
 * all processes are killed right after a change of the config, and are back a second later.
 */
final class HistoryMemory {
    private static final int RETENTION_S = 10;

    /** Largest body of a turn in the users' sheet. */
    private static final int BODY_BYTES = 26_000;

    /** Turns a second without the disruption. */
    private static final int TURNS_PER_S = 30;

    /** One tenant has 45 in 100 of the turns and sends 8.6 times its usual: four times 7.35 s and once 3.1 s. */
    private static final double HOT_SHARE = 0.45;
    private static final double HOT = 8.6;
    private static final double HOT_FROM_S = 2;
    private static final double HOT_S = 4 * 7.35 + 3.1;

    /** Time of the final fault, and for which the processes are down. */
    private static final double FAULT_AT_S = HOT_FROM_S + HOT_S;
    private static final int DOWN_MS = 1000;
    private static final int RECOVERY_S = 12;
    private static final double TRAFFIC_S = FAULT_AT_S + DOWN_MS / 1000.0 + RECOVERY_S + 30;

    private static final int RESTART_MS = 300;
    private static volatile boolean isFault;

    private HistoryMemory() {
    }

    public static void main(String[] args) {
        Case.run(args, HistoryMemory::run);
    }

    private static boolean run(Fleet fleet, boolean hasTrouble) throws Exception {
        fleet.addMachines(3, 3);
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker("w-" + i, fleet.ip(100 + i), HistoryMemory::serve);
            fleet.register(worker.id, "llm", worker.address(), "" + (char) ('a' + i), 16, "ready");
        }
        List<Object> routes = List.of(Fleet.route("talk", "stream", "llm", 3000, 200, 2, true, RETENTION_S, false));
        List<Object> services = List.of(Fleet.service("llm", 12));
        fleet.configure(1, routes, services);
        fleet.start(40_000);
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        for (Fleet.Machine machine : fleet.machines.values()) Http.daemon(() -> restart(machine, ends));
        List<Fleet.Machine> edges = new ArrayList<>();
        for (Fleet.Machine machine : fleet.machines.values()) if (machine.role.equals("entry")) edges.add(machine);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        Map<Integer, int[]> counts = new TreeMap<>();
        int[][] parts = new int[3][2];
        ExecutorService clients = Executors.newFixedThreadPool(64);
        double begin = Record.now();
        double next = begin;
        int sent = 0;
        Random random = new Random(1);
        if (hasTrouble) {
            Http.daemon(() -> {
                Thread.sleep((long) (FAULT_AT_S * 1000));
                isFault = true;
                fleet.configure(2, routes, services);
                Record.line("all processes are killed");
                for (Fleet.Machine machine : fleet.machines.values()) machine.process.destroyForcibly();
                Thread.sleep(DOWN_MS + 500);
                isFault = false;
            });
        }
        while (next < begin + TRAFFIC_S) {
            double wait = next - Record.now();
            if (wait > 0) Thread.sleep((long) (wait * 1000));
            int number = sent++;
            boolean isHot = hasTrouble && next - begin >= HOT_FROM_S && next - begin < HOT_FROM_S + HOT_S;
            double large = HOT_SHARE * (isHot ? HOT : 1);
            String key = random.nextDouble() < large / (1 - HOT_SHARE + large) ? "key-2" : "key-1";
            clients.submit(() -> {
                Client.Result result = turn(edges.get(number % edges.size()), key, "p-" + number, body);
                boolean isServed = result.status == 200 && result.isComplete;
                synchronized (counts) {
                    counts.computeIfAbsent((int) (result.sentAt - begin) / 3, k -> new int[2])[isServed ? 0 : 1]++;
                    int part = result.sentAt - begin < FAULT_AT_S ? 0
                        : result.sentAt - begin > FAULT_AT_S + DOWN_MS / 1000.0 + RECOVERY_S ? 1 : 2;
                    parts[part][isServed ? 0 : 1]++;
                }
                if (!isServed) Record.line("the client gets for %s: %s", result.id, result);
            });
            next += 1.0 / (TURNS_PER_S * (1 - HOT_SHARE + large));
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        Map<String, Integer> ended = new TreeMap<>(ends);
        synchronized (counts) {
            counts.forEach((at, n) -> Record.line("turns sent %d to %d s after the start of traffic: %d served, %d not",
                at * 3, at * 3 + 3, n[0], n[1]));
        }
        Record.line("%d turns of %d bytes sent; processes that ended by themselves: %s", sent, BODY_BYTES, ended);
        int before = parts[0][0] + parts[0][1];
        int after = parts[1][0] + parts[1][1];
        Record.line("before the final fault %d of %d served, later than RecoveryS after the machines are back %d of %d",
            parts[0][0], before, parts[1][0], after);
        if (parts[0][0] * 4 < before) throw new IllegalStateException("less than a quarter was served before the fault");
        return parts[1][0] * 4 >= after;
    }

    /** Starts the process of [machine] again when it has ended, as the platform does. */
    private static void restart(Fleet.Machine machine, Map<String, Integer> ends) throws Exception {
        while (true) {
            int code = machine.process.waitFor();
            if (isFault) {
                Thread.sleep(DOWN_MS);
            } else {
                ends.merge(machine.name, 1, Integer::sum);
                Record.line("%s: its process ended by itself with code %d", machine.name, code);
                Thread.sleep(RESTART_MS);
            }
            machine.start();
        }
    }

    private static Client.Result turn(Fleet.Machine edge, String key, String program, byte[] body) {
        return Client.call(edge.callers(), Client.newId(), "POST", "/talk/1", body, 3000, "Api-Key: " + key,
            "X-Program-Id: " + program, "X-Session-Id: s-" + program, "X-Program-Deadline-Ms: 8000",
            "X-Token-Budget: 5000", "X-Token-Usage: 300,72", "X-Model: m", "X-Deadline-Ms: 3000");
    }

    private static void serve(Worker worker, Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        Worker.beginStream(request, out);
        for (int i = 1; i <= 3; i++) {
            Thread.sleep(5);
            Worker.sendEvent(out, i, "word " + i);
        }
        Worker.endStream(out);
    }
}
