import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A store machine misses turns while it is restarted. Later another one loses its disk while the third, whose disk is
 * kept, loses power for a few seconds, and a spare store machine is there.
 */
final class LostTurns {
    private static final int TURNS = 20;
    private static final int RETENTION_S = 60;

    private LostTurns() {
    }

    public static void main(String[] args) {
        Case.run(args, LostTurns::run);
    }

    private static boolean run(Fleet fleet, boolean hasTrouble) throws Exception {
        fleet.addMachines(3, 3);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker("w-" + i, fleet.ip(100 + i), LostTurns::serve);
            workers.add(worker);
            fleet.register(worker.id, "llm", worker.address(), "" + (char) ('a' + i), 16, "ready");
        }
        fleet.configure(1, List.of(Fleet.route("talk", "stream", "llm", 3000, 200, 2, true, RETENTION_S, false)),
            List.of(Fleet.service("llm", 12)));
        fleet.start(40_000);

        Fleet.Machine behind = fleet.get("storage-c1");
        Fleet.Machine wiped = fleet.get("storage-a1");
        Fleet.Machine dark = fleet.get("storage-b1");
        if (hasTrouble) {
            behind.kill();
            Thread.sleep(300);
        }
        Map<String, Client.Result> turns = new LinkedHashMap<>();
        for (int i = 0; i < TURNS; i++) {
            Client.Result turn = turn(fleet.get("edge-a1"), "p-" + i, null);
            Record.line("turn %s of p-%d by edge-a1: %s", turn.id, i, turn);
            if (turn.status == 200 && turn.isComplete) turns.put("p-" + i, turn);
        }
        if (turns.size() < TURNS / 2) throw new IllegalStateException("too few first turns are answered");
        if (hasTrouble) {
            Thread.sleep(1000);
            behind.start();
        }
        // The restarted machine counts as lost for CatchUpS (4.5 s), and so does the new one.
        Thread.sleep(6000);
        Fleet.Machine spare = fleet.add("storage-b2", "history", "b");
        spare.isFirstStart = false;
        spare.start();
        Thread.sleep(6000);
        int lost = 0;
        if (hasTrouble) {
            wiped.kill();
            dark.kill();
            wiped.wipe();
            Thread.sleep(700);
            wiped.start();
            Thread.sleep(2300);
            // Programs go on while the third machine is dark: 503 is allowed then, 404 isn't.
            lost += continueTurns(fleet, turns, "while storage-b1 is dark");
            dark.start();
        }
        // RecoveryS (12 s) after all machines are back.
        Thread.sleep(12_500);
        lost += continueTurns(fleet, turns, "after the recovery");
        return lost == 0;
    }

    /** Goes on from each of [turns] at another edge machine; returns how many are denied. */
    private static int continueTurns(Fleet fleet, Map<String, Client.Result> turns, String when) {
        int lost = 0;
        int served = 0;
        for (Map.Entry<String, Client.Result> entry : turns.entrySet()) {
            Client.Result first = entry.getValue();
            Client.Result next = turn(fleet.get("edge-b1"), entry.getKey(), first.id);
            double age = next.endedAt - first.endedAt;
            Record.line("turn %s of %s by edge-b1, continues %s, which was answered whole %.1f s before: %s", next.id,
                entry.getKey(), first.id, age, next);
            if ((next.status == 404 || next.status == 410) && age < RETENTION_S) lost++;
            if (next.status == 200) served++;
        }
        Record.line("%s, of %d turns %d are denied and %d continued", when, turns.size(), lost, served);
        return lost;
    }

    private static Client.Result turn(Fleet.Machine edge, String program, String previous) {
        String id = Client.newId();
        List<String> headers = new ArrayList<>(List.of("Api-Key: key-1", "X-Program-Id: " + program,
            "X-Session-Id: s-" + program, "X-Program-Deadline-Ms: 8000", "X-Token-Budget: 9000",
            "X-Token-Usage: 300,72", "X-Model: m", "X-Deadline-Ms: 3000"));
        if (previous != null) headers.add("X-Previous-Turn: " + previous);
        byte[] body = ("input of " + program).getBytes(StandardCharsets.UTF_8);
        return Client.call(edge.callers(), id, "POST", "/talk/1", body, 3000, headers.toArray(new String[0]));
    }

    private static void serve(Worker worker, Http.Message request, java.net.Socket socket, java.io.OutputStream out)
        throws java.io.IOException, InterruptedException {
        Record.line("%s runs %s with a body of %d bytes", worker.id, request.header("X-Attempt-Id"),
            request.body.length);
        Worker.beginStream(request, out);
        for (int i = 1; i <= 3; i++) {
            Thread.sleep(10);
            Worker.sendEvent(out, i, "word " + i);
        }
        Worker.endStream(out);
    }
}
