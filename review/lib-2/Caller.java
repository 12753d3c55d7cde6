package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.UUID;

/** A caller with one kept connection, which it opens again when it is closed. */
final class Caller implements AutoCloseable {
    /** How a request ended: with a status, or with -1 if the connection ended without a whole answer. */
    record Outcome(String attempt, int status, Http.Message answer, String problem) {
        boolean isServed() {
            return status >= 200 && status < 300 && answer.header("X-Server-Seal") != null;
        }
    }

    private final InetSocketAddress address;
    private Http.Connection connection;

    Caller(InetSocketAddress address) {
        this.address = address;
    }

    static Map<String, String> headers(String attempt, String... more) {
        Map<String, String> headers = Http.map(
            "Host", Fleet.HOST, "X-Attempt-Id", attempt, "Api-Key", Fleet.KEY, "X-Deadline-Ms", "3000");
        headers.putAll(Http.map(more));
        return headers;
    }

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    Outcome call(String start, byte[] body, String... more) {
        String attempt = newId();
        try {
            if (connection == null) connection = new Http.Connection(address);
            Map<String, String> headers = headers(attempt, more);
            if (!start.startsWith("GET")) headers.put("Content-Length", "" + body.length);
            connection.send(start, headers, body);
            Http.Message answer = connection.receive(5000);
            if ("close".equalsIgnoreCase(answer.header("Connection"))) close();
            return new Outcome(attempt, answer.status(), answer, null);
        } catch (IOException e) {
            close();
            return new Outcome(attempt, -1, null, e.toString());
        }
    }

    @Override
    public void close() {
        if (connection != null) connection.close();
        connection = null;
    }
}
