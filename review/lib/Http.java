import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages on plain sockets, for the stand-ins of clients, workers and the platform. */
final class Http {
    private Http() {
    }

    /** Start line, headers and body of a message. */
    static final class Message {
        String start;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers the requests of one connection; throws IOException to close it. */
    interface Handler {
        void handle(Message request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    /** A listening server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final List<Socket> open = new ArrayList<>();

        Server(String ip, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(socket);
                    }
                    daemon(() -> serve(socket, handler));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        private void serve(Socket socket, Handler handler) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = readHead(in);
                    if (request == null) return;
                    readBody(request, in);
                    handler.handle(request, socket, socket.getOutputStream());
                }
            } finally {
                synchronized (open) {
                    open.remove(socket);
                }
            }
        }

        /** Closes all connections with a reset, as the end of the process does with unread bytes. */
        void dropConnections() {
            synchronized (open) {
                for (Socket socket : open) {
                    try {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    } catch (IOException e) {
                        // The connection is closed already.
                    }
                }
                open.clear();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            dropConnections();
        }
    }

    /** Action of a thread. */
    interface Action {
        void run() throws Exception;
    }

    /** Starts a daemon thread; an exception ends it. */
    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                // A closed connection ends its thread.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) return null;
        while (b >= 0 && b != '\n') {
            if (b != '\r') out.write(b);
            b = in.read();
        }
        if (b < 0) throw new EOFException("end inside a line");
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads start line and headers; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String start = line(in);
        while (start != null && start.isEmpty()) start = line(in);
        if (start == null) return null;
        Message message = new Message();
        message.start = start;
        String next = line(in);
        while (next != null && !next.isEmpty()) {
            int colon = next.indexOf(':');
            message.headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
            next = line(in);
        }
        return message;
    }

    /** Reads the body that the headers announce. */
    static void readBody(Message message, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = readChunk(in);
            while (chunk.length > 0) {
                body.write(chunk);
                chunk = readChunk(in);
            }
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) throw new EOFException("end inside a body");
        }
    }

    /** Reads one chunk; empty for the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("end inside a chunked body");
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) throw new EOFException("end inside a chunk");
        line(in);
        return chunk;
    }

    static void send(OutputStream out, String start, byte[] body, String... headers) throws IOException {
        out.write(message(start, body, headers));
        out.flush();
    }

    static byte[] message(String start, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        return all.toByteArray();
    }

    static void sendChunk(OutputStream out, String data) throws IOException {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(all.toByteArray());
        out.flush();
    }
}
