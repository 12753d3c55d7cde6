package review2;

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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** HTTP/1.1 messages over plain sockets. */
final class Http {
    private Http() {
    }

    /** Head and body of a message; header names are compared without case. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return start.split(" ")[0];
        }

        String uri() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) throw new EOFException("closed");
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; a message without length and chunks has no body, unless it ends with the connection. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message message = new Message();
        message.start = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                byte[] part = in.readNBytes(size);
                if (part.length < size) throw new EOFException("closed in a chunk");
                body.writeBytes(part);
                line(in);
                if (size == 0) break;
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            int size = Integer.parseInt(length);
            message.body = in.readNBytes(size);
            if (message.body.length < size) throw new EOFException("closed in the body");
        } else if (isAnswer) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    static byte[] bytes(String start, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    static Map<String, String> map(String... pairs) {
        Map<String, String> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put(pairs[i], pairs[i + 1]);
        return map;
    }

    /** A caller's connection, which carries one request at a time. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(InetSocketAddress address) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(address, 1000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String start, Map<String, String> headers, byte[] body) throws IOException {
            out.write(bytes(start, headers, body));
            out.flush();
        }

        Message receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            return read(in, true);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }
    }

    /** Handles a request and writes its answer; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final List<Socket> open = new ArrayList<>();
        private final AtomicBoolean isClosed = new AtomicBoolean();
        private final Handler handler;

        Server(InetSocketAddress address, Handler handler) throws IOException {
            this.handler = handler;
            listener.setReuseAddress(true);
            listener.bind(address, 256);
            start(this::accept);
        }

        private static void start(Runnable action) {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            while (!isClosed.get()) {
                try {
                    Socket socket = listener.accept();
                    synchronized (open) {
                        open.add(socket);
                    }
                    start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (handler.handle(read(in, false), out, socket)) out.flush();
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                synchronized (open) {
                    open.remove(socket);
                }
            }
        }

        @Override
        public void close() throws IOException {
            isClosed.set(true);
            listener.close();
            synchronized (open) {
                for (Socket socket : new ArrayList<>(open)) socket.close();
            }
        }
    }

    static InetSocketAddress address(String ip, int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(ip), port);
    }
}
