import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Stand-in of a worker on a loopback address: rejects requests for another instance and records those that it runs. */
final class Worker implements AutoCloseable {
    /** Runs one request of [worker] and answers it. */
    interface Run {
        void run(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException;
    }

    final String id;
    final String ip;
    final int port;
    private final Run run;
    private Http.Server server;

    Worker(String id, String ip, Run run) throws IOException {
        this.id = id;
        this.ip = ip;
        this.run = run;
        server = new Http.Server(ip, 0, this::handle);
        port = server.port();
    }

    String address() {
        return ip + ":" + port;
    }

    private void handle(Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.send(out, "HTTP/1.1 421 Misdirected Request", new byte[0], "X-Instance-Id: " + id);
            return;
        }
        run.run(this, request, socket, out);
    }

    /** Headers of the worker's own answer to [request]. */
    static String[] signed(Http.Message request, String... more) {
        List<String> headers = new ArrayList<>();
        headers.add("X-Attempt-Id: " + request.header("X-Attempt-Id"));
        headers.add("X-Server-Seal: seal-" + request.header("X-Attempt-Id"));
        headers.addAll(List.of(more));
        return headers.toArray(new String[0]);
    }

    /** Sends the head of a stream of events. */
    static void beginStream(Http.Message request, OutputStream out) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        for (String header : signed(request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")) {
            head.append(header).append("\r\n");
        }
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void sendEvent(OutputStream out, int number, String data) throws IOException {
        Http.sendChunk(out, "id: " + number + "\ndata: " + data + "\n\n");
    }

    static void endStream(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Ends the process of the worker: all its channels are reset, and no new one is accepted for [ms]. */
    void crash(long ms) throws IOException, InterruptedException {
        server.close();
        Thread.sleep(ms);
        server = new Http.Server(ip, port, this::handle);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
