import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in of a client: sends one request on a new channel and reads the answer. */
final class Client {
    private Client() {
    }

    /** What a client saw of one request. */
    static final class Result {
        String id;
        /** Status, or 0 when no head came. */
        int status;
        boolean isComplete;
        /** How the answer ended: whole, closed, reset, or abandoned after the time that the client waits. */
        String end = "";
        String body = "";
        double sentAt;
        double endedAt;

        @Override
        public String toString() {
            return "status " + status + ", " + end;
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Sends a request and waits up to [waitMs] for the end of its answer. */
    static Result call(String address, String id, String method, String path, byte[] body, long waitMs,
        String... headers) {
        Result result = new Result();
        result.id = id;
        result.sentAt = Record.now();
        long end = System.nanoTime() + waitMs * 1_000_000;
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setTcpNoDelay(true);
            List<String> all = new ArrayList<>(List.of("Host: agents.example", "X-Attempt-Id: " + id));
            all.addAll(List.of(headers));
            OutputStream out = socket.getOutputStream();
            Http.send(out, method + " " + path + " HTTP/1.1", body, all.toArray(new String[0]));
            InputStream in = new BufferedInputStream(new TimedInput(socket, end));
            Http.Message answer = Http.readHead(in);
            if (answer == null) {
                result.end = "closed before an answer";
            } else {
                result.status = answer.status();
                if ("chunked".equalsIgnoreCase(answer.header("Transfer-Encoding"))) {
                    StringBuilder text = new StringBuilder();
                    try {
                        byte[] chunk = Http.readChunk(in);
                        while (chunk.length > 0) {
                            text.append(new String(chunk, StandardCharsets.UTF_8));
                            chunk = Http.readChunk(in);
                        }
                    } finally {
                        result.body = text.toString();
                    }
                } else {
                    Http.readBody(answer, in);
                    result.body = answer.text();
                }
                result.isComplete = true;
                result.end = "whole";
            }
        } catch (SocketTimeoutException e) {
            result.end = "no end within " + waitMs + " ms";
        } catch (IOException e) {
            result.end = "broken off: " + e.getMessage();
        }
        result.endedAt = Record.now();
        return result;
    }

    /** Reads with a limit on the time of the whole answer. */
    private static final class TimedInput extends InputStream {
        private final Socket socket;
        private final InputStream in;
        private final long end;

        TimedInput(Socket socket, long end) throws IOException {
            this.socket = socket;
            this.in = socket.getInputStream();
            this.end = end;
        }

        private void arm() throws IOException {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) throw new SocketTimeoutException();
            socket.setSoTimeout((int) left);
        }

        @Override
        public int read() throws IOException {
            arm();
            return in.read();
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            arm();
            return in.read(bytes, offset, length);
        }
    }
}
