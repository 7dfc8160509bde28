import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's ingress in one zone: asks each entry once a second whether it is ready, takes it out of rotation after
 * two misses and back in after one 200, and forwards each new channel to an entry that a hash of the client selects.
 */
final class Balancer {
    final int port;
    private final Deployment deployment;
    private final List<Deployment.Entry> entries;
    private final Map<String, Integer> misses = new HashMap<>();
    private final Map<String, Long> silentSince = new ConcurrentHashMap<>();

    Balancer(Deployment deployment, List<Deployment.Entry> entries) throws IOException {
        this.deployment = deployment;
        this.entries = entries;
        ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        entries.forEach(entry -> misses.put(entry.name(), 2));
        entries.forEach(entry -> Deployment.THREADS.execute(() -> check(entry)));
        Deployment.THREADS.execute(() -> {
            while (true) {
                try {
                    Socket channel = server.accept();
                    Deployment.THREADS.execute(() -> forward(channel));
                } catch (IOException failure) {
                    return;
                }
            }
        });
    }

    synchronized boolean isInRotation(Deployment.Entry entry) {
        return misses.get(entry.name()) < 2;
    }

    /** From now on the machine of [entry] answers nothing: what is sent to it, or by it, on open channels is lost. */
    void silence(Deployment.Entry entry) {
        silentSince.put(entry.name(), Deployment.now());
    }

    /** The machine answers again. */
    void unsilence(Deployment.Entry entry) {
        silentSince.remove(entry.name());
    }

    /** Time for which the keep-alive probes to the machine of [entry] have had no answer. */
    long silentMillis(Deployment.Entry entry) {
        Long since = silentSince.get(entry.name());
        return since == null ? 0 : Deployment.now() - since;
    }

    /** The client of these cases hashes to the last entry of those in rotation. */
    synchronized Deployment.Entry select() {
        List<Deployment.Entry> inRotation = new ArrayList<>(entries.stream().filter(this::isInRotation).toList());
        if (inRotation.size() * 2 < entries.size()) inRotation = entries;
        return inRotation.get(inRotation.size() - 1);
    }

    private void check(Deployment.Entry entry) {
        while (true) {
            boolean ready = silentMillis(entry) == 0 && entry.isReady();
            synchronized (this) {
                boolean before = isInRotation(entry);
                misses.merge(entry.name(), 1, (old, one) -> ready ? 0 : old + 1);
                if (before != isInRotation(entry)) {
                    deployment.log("ingress: " + entry.name() + (before ? " out of rotation" : " in rotation"));
                }
            }
            try {
                Thread.sleep(1000);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void forward(Socket channel) {
        Deployment.Entry entry = select();
        deployment.log("ingress: new channel to " + entry.name());
        try {
            Socket onward = new Socket(entry.host(), entry.frontendPort());
            Deployment.THREADS.execute(() -> copy(channel, onward, entry));
            copy(onward, channel, entry);
        } catch (IOException refused) {
            close(channel);
        }
    }

    private void copy(Socket from, Socket to, Deployment.Entry entry) {
        byte[] buffer = new byte[8192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (silentMillis(entry) == 0) out.write(buffer, 0, count);
            }
        } catch (IOException ended) {
            // The other side is closed below, as the ingress does.
        }
        if (silentMillis(entry) > 0) return;
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // Nothing is left to close.
        }
    }
}
