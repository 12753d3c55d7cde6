package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store, as PROTOCOL describes it: list, watch, conditional writes, one revision. */
final class Store implements AutoCloseable {
    private record Change(long revision, String kind, boolean isDeleted, Map<String, Object> shown) {
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Http.Server server;
    private long revision = 1;

    Store(InetSocketAddress address) throws IOException {
        server = new Http.Server(address, this::handle);
    }

    /** Creates or replaces the object; without [spec] it is removed. */
    synchronized void put(String kind, String name, Object spec) {
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (spec != null) change(kind, name, spec, null);
        else if (objects.containsKey(name)) delete(kind, name);
    }

    synchronized Map<String, Object> get(String kind, String name) {
        return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    }

    private Map<String, Object> change(String kind, String name, Object spec, Object status) {
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("Name", name);
        metadata.put("Revision", revision);
        metadata.put("Created", 1L);
        metadata.put("Finalizers", List.of());
        metadata.put("Deleting", false);
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("Metadata", metadata);
        shown.put("Spec", spec);
        shown.put("Status", status);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, shown);
        changes.add(new Change(revision, kind, false, shown));
        notifyAll();
        return shown;
    }

    private Map<String, Object> delete(String kind, String name) {
        Map<String, Object> old = kinds.get(kind).get(name);
        Map<String, Object> shown = change(kind, name, old.get("Spec"), old.get("Status"));
        changes.remove(changes.size() - 1);
        changes.add(new Change(revision, kind, true, shown));
        kinds.get(kind).remove(name);
        return shown;
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String uri = request.uri();
        String path = uri.contains("?") ? uri.substring(0, uri.indexOf('?')) : uri;
        Map<String, String> query = new HashMap<>();
        if (uri.contains("?")) {
            for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
                query.put(pair.split("=")[0], URLDecoder.decode(pair.split("=")[1], StandardCharsets.UTF_8));
            }
        }
        String[] parts = path.substring("/api/objects/".length()).split("/");
        for (int i = 0; i < parts.length; i++) parts[i] = URLDecoder.decode(parts[i], StandardCharsets.UTF_8);
        Map<String, Object> body = request.body.length == 0 ? Map.of() : Json.object(request.text());
        Object[] answer = answer(request.method(), parts, query, body);
        byte[] bytes = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
        out.write(Http.bytes(
            "HTTP/1.1 " + answer[0] + " Answer",
            Http.map("Content-Type", "application/json", "Content-Length", "" + bytes.length),
            bytes));
        return true;
    }

    private synchronized Object[] answer(String method, String[] path, Map<String, String> query, Map<String, Object> body)
        throws InterruptedException {
        String kind = path[0];
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (method.equals("GET")) {
            if (path.length > 1) {
                Map<String, Object> found = objects.get(path[1]);
                return found == null ? new Object[] {404, Map.of()} : new Object[] {200, found};
            }
            if (query.containsKey("Watch")) return watch(kind, query);
            Map<String, Object> page = new LinkedHashMap<>();
            String after = query.getOrDefault("after", "");
            page.put("items", new ArrayList<>(objects.tailMap(after, false).values()));
            page.put("More", false);
            page.put("AsOf", revision);
            return new Object[] {200, page};
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> metadata = (Map<String, Object>) body.getOrDefault("Metadata", Map.of());
        String name = path.length > 1 ? path[1] : (String) metadata.get("Name");
        Map<String, Object> old = objects.get(name);
        if (method.equals("POST")) {
            return old == null
                ? new Object[] {200, change(kind, name, body.get("Spec"), null)} : new Object[] {409, old};
        }
        if (old == null) return new Object[] {404, Map.of()};
        Object expected = metadata.get("Revision");
        @SuppressWarnings("unchecked")
        Object actual = ((Map<String, Object>) old.get("Metadata")).get("Revision");
        if (expected != null && !expected.equals(actual)) return new Object[] {409, old};
        if (method.equals("DELETE")) return new Object[] {200, delete(kind, name)};
        boolean isStatus = path.length > 2;
        Object spec = isStatus ? old.get("Spec") : body.get("Spec");
        Object status = isStatus ? body.get("Status") : old.get("Status");
        boolean isSame = java.util.Objects.equals(spec, old.get("Spec"))
            && java.util.Objects.equals(status, old.get("Status"));
        return new Object[] {200, isSame ? old : change(kind, name, spec, status)};
    }

    private Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("Watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        while (changes.stream().noneMatch(change -> change.kind.equals(kind) && change.revision > from)) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        List<Object> events = new ArrayList<>();
        for (Change change : changes) {
            if (!change.kind.equals(kind) || change.revision <= from) continue;
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("Tombstone", change.isDeleted);
            event.put("Object", change.shown);
            events.add(event);
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("events", events);
        page.put("AsOf", revision);
        return new Object[] {200, page};
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
