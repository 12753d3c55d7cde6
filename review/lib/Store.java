import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: objects by kind and name, list and watch, on one revision counter. */
final class Store implements AutoCloseable {
    private record Event(long revision, String kind, boolean isTombstone, Map<String, Object> object) {
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private long cutBefore;
    private final Http.Server server;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, 0, (request, socket, out) -> {
            Object[] answer = answer(request);
            if (answer == null) throw new IOException("the waiting watch is cut off");
            byte[] body = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
            Http.send(out, "HTTP/1.1 " + answer[0] + " x", body, "Content-Type: application/json");
        });
    }

    int port() {
        return server.port();
    }

    /** Cuts off all watches that are waiting now. */
    synchronized void cutWatches() {
        cutBefore++;
        notifyAll();
    }

    /** Creates or replaces an object, as an operator or a worker does. */
    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        if (old != null && Objects.equals(Json.write(old.get("Spec")), Json.write(spec))) return;
        change(kind, name, spec, old == null ? null : old.get("Status"));
    }

    synchronized void remove(String kind, String name) {
        TreeMap<String, Map<String, Object>> objects = kinds.get(kind);
        Map<String, Object> old = objects == null ? null : objects.remove(name);
        if (old == null) return;
        revision++;
        history.add(new Event(revision, kind, true, object(name, old.get("Spec"), old.get("Status"))));
        notifyAll();
    }

    synchronized Map<String, Object> get(String kind, String name) {
        TreeMap<String, Map<String, Object>> objects = kinds.get(kind);
        return objects == null ? null : objects.get(name);
    }

    private Map<String, Object> object(String name, Object spec, Object status) {
        return Json.of(
            "Metadata", Json.of("Name", name, "Revision", revision, "Created", 1, "Finalizers", new ArrayList<>(),
                "Deleting", false),
            "Spec", spec, "Status", status);
    }

    private Map<String, Object> change(String kind, String name, Object spec, Object status) {
        revision++;
        Map<String, Object> next = object(name, spec, status);
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, next);
        history.add(new Event(revision, kind, false, next));
        notifyAll();
        return next;
    }

    private synchronized Object[] answer(Http.Message request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        String[] path = target[0].substring("/api/objects/".length()).split("/");
        String kind = path[0];
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : null;
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) query.put(pair.split("=")[0], pair.split("=", 2)[1]);
        }
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        if (request.method().equals("GET")) {
            if (name != null) return objects.containsKey(name) ? new Object[] {200, objects.get(name)} : missing();
            return query.containsKey("Watch") ? watch(kind, query)
                : new Object[] {200, Json.of("items", new ArrayList<>(objects.values()), "More", false,
                    "AsOf", revision)};
        }
        Map<String, Object> body = request.body.length == 0 ? Json.of() : Json.object(Json.parse(request.text()));
        Map<String, Object> metadata = Json.object(body.get("Metadata"));
        if (request.method().equals("POST")) {
            String created = (String) metadata.get("Name");
            return objects.containsKey(created) ? new Object[] {409, objects.get(created)}
                : new Object[] {200, change(kind, created, body.get("Spec"), null)};
        }
        Map<String, Object> old = objects.get(name);
        if (old == null) return missing();
        Object expected = metadata.get("Revision");
        Object actual = Json.object(old.get("Metadata")).get("Revision");
        if (expected != null && ((Number) expected).longValue() != ((Number) actual).longValue()) {
            return new Object[] {409, old};
        }
        if (request.method().equals("DELETE")) {
            remove(kind, name);
            return new Object[] {200, old};
        }
        boolean isStatus = path.length > 2;
        Object spec = isStatus ? old.get("Spec") : body.get("Spec");
        Object status = isStatus ? body.get("Status") : old.get("Status");
        boolean isSame = Json.write(spec).equals(Json.write(old.get("Spec")))
            && Json.write(status).equals(Json.write(old.get("Status")));
        return new Object[] {200, isSame ? old : change(kind, name, spec, status)};
    }

    private Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("Watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        long before = cutBefore;
        while (true) {
            if (cutBefore != before) return null;
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > from && event.kind.equals(kind)) {
                    events.add(Json.of("Tombstone", event.isTombstone, "Object", event.object));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Object[] {200, Json.of("events", events, "AsOf", revision)};
            }
            wait(left);
        }
    }

    private static Object[] missing() {
        return new Object[] {404, Json.of()};
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
