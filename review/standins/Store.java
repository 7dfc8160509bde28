import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, ranges, watches, transactions under conditions, and leases that run out. */
final class Store {
    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Long> leaseTtl = new HashMap<>();
    private long revision = 100;
    private long lastLease = 7000;

    Store(String host, int port) throws IOException {
        new Http.Server(host, port, this::answer);
        Threads.start("store-leases", this::expireLeases);
    }

    /** Writes as the operator does; returns when the write is acknowledged. */
    synchronized long put(String key, String value) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    private Http.Response answer(Http.Request request) throws Exception {
        String path = request.path().split("\\?")[0];
        Map<String, String> query = query(request.path());
        if (path.equals("/api/kv-range")) return range(query);
        if (path.equals("/api/kv-watch")) return watch(query);
        if (path.equals("/api/kv-txn")) return transaction(Json.object(request.body()));
        if (path.equals("/api/kv-lease")) return grant((Long) Json.object(request.body()).get("ttl_ms"));
        if (path.startsWith("/api/kv-keep/")) return keep(Long.parseLong(path.substring(13)));
        if (path.startsWith("/api/kv-lease-end/")) return end(Long.parseLong(path.substring(18)));
        return new Http.Response(404, "{}");
    }

    private synchronized Http.Response range(Map<String, String> query) {
        List<Object> rows = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(query.get("prefix")) && key.compareTo(query.getOrDefault("after", "")) > 0) {
                rows.add(row(key, item));
            }
        });
        return Http.Response.json(200, Json.of("items", rows, "has_more", false, "at_rev", revision));
    }

    private synchronized Http.Response watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision <= after || !event.key.startsWith(query.get("prefix"))) continue;
                events.add(event.item == null
                    ? Json.of("key", event.key, "revision", event.revision, "removed", true)
                    : row(event.key, event.item));
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return Http.Response.json(200, Json.of("events", events, "at_rev", revision));
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response transaction(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object entry : list(body.get("expected_rev"))) {
            Map<String, Object> expected = (Map<String, Object>) entry;
            Item item = items.get((String) expected.get("key"));
            long actual = item == null ? 0 : item.revision;
            holds &= actual == ((Number) expected.getOrDefault("revision", 0L)).longValue();
            if (item != null) current.add(row((String) expected.get("key"), item));
        }
        if (!holds) return Http.Response.json(412, Json.of("items", current));
        for (Object entry : list(body.get("set_keys"))) {
            Object lease = ((Map<String, Object>) entry).get("lease");
            if (lease != null && (Long) lease != 0 && !leaseEndNanos.containsKey((Long) lease)) {
                return new Http.Response(404, "{}");
            }
        }
        revision++;
        for (Object entry : list(body.get("set_keys"))) {
            Map<String, Object> set = (Map<String, Object>) entry;
            Object lease = set.get("lease");
            write((String) set.get("key"), (String) set.get("value"), lease == null ? 0 : (Long) lease);
        }
        for (Object key : list(body.get("delete"))) remove((String) key);
        notifyAll();
        return Http.Response.json(200, Json.of("revision", revision));
    }

    private synchronized Http.Response grant(long ttl) {
        leaseTtl.put(++lastLease, ttl);
        leaseEndNanos.put(lastLease, System.nanoTime() + ttl * 1_000_000);
        return Http.Response.json(200, Json.of("lease", lastLease, "ttl_ms", ttl));
    }

    private synchronized Http.Response keep(long lease) {
        if (!leaseEndNanos.containsKey(lease)) return new Http.Response(404, "{}");
        leaseEndNanos.put(lease, System.nanoTime() + leaseTtl.get(lease) * 1_000_000);
        return Http.Response.json(200, Json.of("ttl_ms", leaseTtl.get(lease)));
    }

    private synchronized Http.Response end(long lease) {
        leaseEndNanos.put(lease, 0L);
        return new Http.Response(200, "{}");
    }

    private void expireLeases() {
        while (true) {
            Threads.sleep(50);
            synchronized (this) {
                for (long lease : new ArrayList<>(leaseEndNanos.keySet())) {
                    if (leaseEndNanos.get(lease) - System.nanoTime() > 0) continue;
                    leaseEndNanos.remove(lease);
                    revision++;
                    for (String key : new ArrayList<>(items.keySet())) if (items.get(key).lease == lease) remove(key);
                    notifyAll();
                }
            }
        }
    }

    private void write(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(new Event(key, item, revision));
    }

    private void remove(String key) {
        if (items.remove(key) != null) history.add(new Event(key, null, revision));
    }

    private static Map<String, Object> row(String key, Item item) {
        return Json.of("key", key, "value", item.value, "revision", item.revision, "created_at", item.created,
            "lease", item.lease);
    }

    private static List<?> list(Object value) {
        return value == null ? List.of() : (List<?>) value;
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark < 0) return query;
        for (String pair : path.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
