import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/** A network path that can be cut: silently, with bytes held up until it heals, or with resets; or channels die. */
final class Proxy {
    private final String host;
    private final int port;
    private final String targetHost;
    private final int targetPort;
    private final UnaryOperator<byte[]> answers;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile boolean isHeld;

    /** @param answers rewrites what the target sends, as an address translation does. */
    Proxy(String host, int port, String targetHost, int targetPort, UnaryOperator<byte[]> answers) throws IOException {
        this.host = host;
        this.port = port;
        this.targetHost = targetHost;
        this.targetPort = targetPort;
        this.answers = answers;
        listen();
    }

    Proxy(String host, int port, String targetHost, int targetPort) throws IOException {
        this(host, port, targetHost, targetPort, bytes -> bytes);
    }

    /** Cuts the path silently; bytes under way are held up until {@link #heal}. */
    void hold() {
        isHeld = true;
    }

    /** Cuts the path with resets: open channels are reset and new ones are refused. */
    void refuse() {
        Http.quietly(listener::close);
        pairs.forEach(Pair::reset);
    }

    /** Resets the open channels; new ones work. */
    void resetOpen() {
        pairs.forEach(Pair::reset);
    }

    /** Lets the channels that are open now go silent for good, without a reset. New ones work. */
    void silenceOpenChannels() {
        pairs.forEach(pair -> pair.isSilent = true);
    }

    /** The port at which the path begins. */
    int port() {
        return port;
    }

    void heal() throws IOException {
        isHeld = false;
        if (listener.isClosed()) listen();
    }

    private void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        listener = socket;
        Threads.start("proxy-" + port, () -> {
            while (!socket.isClosed()) {
                Socket client = socket.accept();
                Threads.start("proxy-channel", () -> connect(client));
            }
        });
    }

    private void connect(Socket client) throws IOException {
        while (isHeld) Threads.sleep(1);
        Socket target = new Socket();
        try {
            target.connect(new InetSocketAddress(targetHost, targetPort), 1000);
        } catch (IOException refused) {
            client.setSoLinger(true, 0);
            client.close();
            return;
        }
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        Pair pair = new Pair(client, target);
        pairs.add(pair);
        Threads.start("proxy-up", () -> pair.copy(client, target, bytes -> bytes));
        Threads.start("proxy-down", () -> pair.copy(target, client, answers));
    }

    private final class Pair {
        private final Socket client;
        private final Socket target;
        private volatile boolean isSilent;

        Pair(Socket client, Socket target) {
            this.client = client;
            this.target = target;
        }

        void copy(Socket from, Socket to, UnaryOperator<byte[]> rewrite) {
            byte[] buffer = new byte[65536];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                while (true) {
                    int count = in.read(buffer);
                    while (isHeld || isSilent) Threads.sleep(1);
                    if (count < 0) break;
                    out.write(rewrite.apply(java.util.Arrays.copyOf(buffer, count)));
                }
                to.shutdownOutput();
                if (from.isOutputShutdown()) close();
            } catch (IOException reset) {
                while (isHeld || isSilent) Threads.sleep(1);
                reset();
            }
        }

        void reset() {
            Http.quietly(() -> client.setSoLinger(true, 0));
            Http.quietly(() -> target.setSoLinger(true, 0));
            close();
        }

        private void close() {
            pairs.remove(this);
            Http.quietly(client::close);
            Http.quietly(target::close);
        }
    }
}
