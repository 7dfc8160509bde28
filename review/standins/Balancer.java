import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's forwarding of new channels: asks each entry once a second whether it is ready, takes it out after two
 * misses and back after an answer, and selects by a hash of the client among those that are in.
 */
final class Balancer {
    private final List<Installation.Entry> entries;
    private final int[] misses;
    private final Record record;

    Balancer(List<Installation.Entry> entries, Record record) {
        this.entries = entries;
        this.record = record;
        misses = new int[entries.size()];
        for (int i = 0; i < entries.size(); i++) {
            int index = i;
            Threads.start("readiness-" + i, () -> {
                while (true) {
                    ask(index);
                    Threads.sleep(1000);
                }
            });
        }
    }

    /** The entry that a new channel of this client is forwarded to. */
    synchronized Installation.Entry entryFor(int clientHash) {
        List<Installation.Entry> ready = new ArrayList<>();
        for (int i = 0; i < misses.length; i++) if (misses[i] < 2) ready.add(entries.get(i));
        List<Installation.Entry> used = ready.size() * 2 < entries.size() ? entries : ready;
        return used.get(clientHash % used.size());
    }

    synchronized boolean isIn(Installation.Entry entry) {
        return misses[entries.indexOf(entry)] < 2;
    }

    private void ask(int index) {
        Installation.Entry entry = entries.get(index);
        boolean isReady;
        try {
            isReady = Http.call(entry.ip, entry.readiness, "GET", "/api/readiness", "", 1000).status() == 200;
        } catch (IOException unanswered) {
            isReady = false;
        }
        synchronized (this) {
            boolean wasIn = misses[index] < 2;
            misses[index] = isReady ? 0 : misses[index] + 1;
            boolean isIn = misses[index] < 2;
            if (wasIn != isIn) record.line("balancer: %s is %s", entry.ip, isIn ? "in" : "out");
        }
    }
}
