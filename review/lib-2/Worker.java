package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound worker: answers whole, with its seal, and takes note of what it has run. */
class Worker implements AutoCloseable {
    /** A request that the worker has run. */
    record Run(String attempt, String uri, Map<String, String> headers, byte[] body, long atMillis) {
    }

    final String id;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Http.Server server;

    Worker(String id, InetSocketAddress address) throws IOException {
        this.id = id;
        server = new Http.Server(address, this::handle);
    }

    /** Headers that the worker adds to its answers. */
    Map<String, String> moreHeaders(Http.Message request) {
        return Map.of();
    }

    /** Time that a request takes. */
    int workMillis(Http.Message request) {
        return 20;
    }

    /** Number of events of a stream. */
    int events(Http.Message request) {
        return 6;
    }

    boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.uri().equals("/healthz")) {
            headers.put("X-Instance-Id", id);
            headers.put("Content-Length", "0");
            out.write(Http.bytes("HTTP/1.1 200 OK", headers, new byte[0]));
            return true;
        }
        String attempt = request.header("X-Attempt-Id");
        headers.put("X-Attempt-Id", attempt == null ? "" : attempt);
        String expected = request.header("X-Expect-Instance");
        if (attempt == null || (expected != null && !expected.equals(id))) {
            headers.put("X-Instance-Id", id);
            headers.put("X-Not-Executed", "1");
            headers.put("Content-Length", "0");
            out.write(Http.bytes(attempt == null ? "HTTP/1.1 400 No id" : "HTTP/1.1 421 Misdirected Request", headers,
                new byte[0]));
            return true;
        }
        runs.add(new Run(attempt, request.uri(), request.headers, request.body, System.currentTimeMillis()));
        return run(request, attempt, headers, out, socket);
    }

    boolean run(Http.Message request, String attempt, Map<String, String> headers, OutputStream out, Socket socket)
        throws Exception {
        headers.put("X-Server-Seal", "seal." + id + "." + attempt);
        headers.put("X-Instance-Id", id);
        headers.putAll(moreHeaders(request));
        boolean isStream = request.uri().startsWith("/talk/") || request.uri().startsWith("/draft/");
        Thread.sleep(workMillis(request));
        if (!isStream) {
            byte[] body = ("answer of " + id + " to " + attempt).getBytes(StandardCharsets.UTF_8);
            headers.put("Content-Length", "" + body.length);
            out.write(Http.bytes("HTTP/1.1 200 OK", headers, body));
            return true;
        }
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        out.write(Http.bytes("HTTP/1.1 200 OK", headers, new byte[0]));
        String last = request.header("Last-Event-Id");
        for (int event = last == null ? 0 : Integer.parseInt(last) + 1; event < events(request); event++) {
            String text = "id: " + event + "\ndata: word " + event + " of " + attempt + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(5);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
