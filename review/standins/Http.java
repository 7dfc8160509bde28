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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: a server with one thread a connection, and calls on connections of their own. */
final class Http {
    private Http() {}

    record Request(String method, String path, Map<String, String> headers, String body) {}

    record Response(int status, String body) {
        static Response json(int status, Object value) {
            return new Response(status, Json.write(value));
        }
    }

    interface Handler {
        /** Returns the response; null closes the connection without one. */
        Response answer(Request request) throws Exception;
    }

    /** A server that can be ended as a crash ends a process: all its connections are reset. */
    static final class Server {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            Threads.start("http-" + port, this::accept);
        }

        void crash() {
            quietly(listener::close);
            for (Socket socket : sockets) {
                quietly(() -> socket.setSoLinger(true, 0));
                quietly(socket::close);
            }
        }

        private void accept() throws IOException {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Threads.start("http-connection", () -> serve(socket));
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) return;
                    Response response = handler.answer(request);
                    if (response == null) return;
                    byte[] body = response.body.getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + response.status + " X\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n";
                    socket.getOutputStream().write(join(head, body));
                }
            } catch (Exception ended) {
                // The peer left, or the server crashed.
            } finally {
                sockets.remove(socket);
            }
        }
    }

    /** A call on a connection of its own, which a caller can break off. */
    static final class Call implements AutoCloseable {
        private final Socket socket = new Socket();

        Response send(String host, int port, String method, String path, Map<String, String> headers, String body,
            int timeoutMillis) throws IOException {
            socket.connect(new InetSocketAddress(host, port), Math.min(timeoutMillis, 2000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: ").append(host).append(':').append(port).append("\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (bytes.length > 0) head.append("Content-Type: application/json\r\n");
            if (!method.equals("GET")) head.append("Content-Length: ").append(bytes.length).append("\r\n");
            head.append("\r\n");
            socket.getOutputStream().write(join(head.toString(), bytes));
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            if (status == null) throw new EOFException("The channel ended without an answer.");
            Map<String, String> answered = readHeaders(in);
            return new Response(Integer.parseInt(status.split(" ")[1]), readBody(in, answered));
        }

        @Override
        public void close() {
            quietly(socket::close);
        }
    }

    static Response call(String host, int port, String method, String path, String body, int timeoutMillis)
        throws IOException {
        try (Call call = new Call()) {
            return call.send(host, port, method, path, Map.of(), body, timeoutMillis);
        }
    }

    interface Action {
        void run() throws Exception;
    }

    static void quietly(Action action) {
        try {
            action.run();
        } catch (Exception ignored) {
            // Closing a closed socket.
        }
    }

    private static byte[] join(String head, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        return new Request(words[0], words[1], headers, readBody(in, headers));
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException("The channel ended within a body.");
        return new String(body, StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            line.write(c);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }
}
