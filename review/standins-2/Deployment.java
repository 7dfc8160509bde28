import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: a store stand-in, entries and agents as separate processes started with the commands
 * of deploy/system.toml, and worker stand-ins. Everything that is sent, answered and run goes into record.txt.
 */
final class Deployment implements AutoCloseable {
    static final long STARTED = System.nanoTime();
    private static final long LONGEST_RUN_MILLIS = 110_000;
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** Loopback addresses of this run alone, so that runs beside each other share no port. */
    final String hosts = "127." + ThreadLocalRandom.current().nextInt(16, 250) + "." + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    final List<String> record = new ArrayList<>();
    final Map<String, Process> processes = new LinkedHashMap<>();
    final Path folder;
    final Store store = new Store(this);
    final int internalPort;
    private final Map<String, Path> settings = new HashMap<>();
    private final Map<String, String> programs = new HashMap<>();

    Deployment() throws IOException {
        folder = Files.createTempDirectory("review-");
        internalPort = freePort(hosts + 11);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    }

    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    void log(String line) {
        synchronized (record) {
            record.add(String.format("%7d ms  %s", now(), line));
        }
    }

    /** Returns a free port below those that the system gives to clients, so that none of them takes it meanwhile. */
    static int freePort(String host) throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (IOException inUse) {
                // The next random port is tried.
            }
        }
        throw new IOException("no free port on " + host);
    }

    /** Prepares an entry with an address of its own; all entries use the same internal port. */
    Entry entry(int number, String seeds) throws IOException {
        String host = hosts + (10 + number);
        Entry entry = new Entry("edge-" + number, host, freePort(host), freePort(host));
        write(entry.name, "entry", host, seeds, List.of(
            "bind_addrs.frontend=" + host + ":" + entry.frontendPort,
            "bind_addrs.readiness=" + host + ":" + entry.readinessPort));
        return entry;
    }

    /** Prepares an agent beside [worker]. */
    void agent(String name, Worker worker, String seeds) throws IOException {
        write(name, "agent", worker.host, seeds, List.of(
            "bind_addrs.control=" + worker.host + ":" + worker.controlPort,
            "app=" + worker.appAddress(),
            "service=" + worker.service));
    }

    private void write(String name, String role, String host, String seeds, List<String> more) throws IOException {
        List<String> lines = new ArrayList<>(List.of(
            "node_name=" + name, "role=" + role, "ip=" + host, "zone=zone-a", "region=region-a",
            "internal_ports=" + internalPort + "," + internalPort, "seeds=" + seeds,
            "bootstrap=true", "heartbeat_ms=1500", "commands=rpc", "platform.address=" + store.address(),
            "platform.form=kv", "bounds.stable_window_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=6",
            "bounds.config_apply_ms=2000", "bounds.cancel_ms=3000", "bounds.hold_max_ms=1000",
            "bounds.stop_timeout_ms=50", "bounds.resend_ms=1300"));
        lines.addAll(more);
        Path file = folder.resolve(name + ".conf");
        Files.write(file, lines);
        settings.put(name, file);
        programs.put(name, role);
    }

    /** Starts the process [name] with the command of its role in the deploy file. */
    void start(String name) throws IOException {
        String section = "[roles." + programs.get(name) + "]";
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(text.substring(text.indexOf(section)));
        if (!run.find()) throw new IOException("No command for " + name);
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("EGRETLOCK_BOOT", settings.get(name).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        Process process = builder.start();
        processes.put(name, process);
        log("process " + name + " started");
        process.onExit().thenAccept(ended -> log("process " + name + " ended with " + ended.exitValue()));
    }

    void signal(String name, String signal) throws Exception {
        log("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, "" + processes.get(name).pid()).start().waitFor();
    }

    void await(String what, long millis, Condition condition) throws Exception {
        long end = now() + millis;
        while (!condition.holds()) {
            if (now() > end) throw new CannotRun("not reached within " + millis + " ms: " + what);
            Thread.sleep(20);
        }
    }

    /** Last lines of the processes' own logs, for the record. */
    void recordLogs(int lines, String pattern) throws IOException {
        for (String name : processes.keySet()) {
            Path file = folder.resolve(name + ".log");
            if (!Files.exists(file)) continue;
            List<String> found = Files.readAllLines(file).stream().filter(it -> it.matches(pattern)).toList();
            record.add("-- log of " + name + ", last lines that match " + pattern);
            record.addAll(found.subList(Math.max(0, found.size() - lines), found.size()));
        }
    }

    @Override
    public void close() throws IOException {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(it -> {
            try {
                it.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        File[] files = folder.toFile().listFiles();
        if (files != null) Arrays.stream(files).forEach(File::delete);
        folder.toFile().delete();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    interface Body {
        /** Plays the case; returns true if the rule held. */
        boolean play(Deployment deployment, boolean trouble) throws Exception;
    }

    /** Plays [body], writes record.txt into [folder] and exits: 0 the rule held, 1 it was broken, 2 it couldn't run. */
    static void run(String folder, Body body) throws Exception {
        THREADS.execute(() -> {
            try {
                Thread.sleep(LONGEST_RUN_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
            System.out.println("[RESULT: the case could not run: it took too long]");
            System.exit(2);
        });
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        Deployment deployment = new Deployment();
        deployment.record.add("TROUBLE=" + (trouble ? 1 : 0));
        try {
            boolean held = body.play(deployment, trouble);
            code = held ? 0 : 1;
            deployment.log(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
        } catch (Throwable failure) {
            code = 2;
            deployment.log("RESULT: the case could not run: " + failure);
            for (StackTraceElement line : failure.getStackTrace()) deployment.record.add("    at " + line);
            deployment.recordLogs(15, ".*");
        } finally {
            deployment.close();
        }
        synchronized (deployment.record) {
            Files.write(Path.of(folder, "record.txt"), deployment.record);
            System.out.println(deployment.record.stream().filter(it -> it.contains("RESULT")).toList());
        }
        Runtime.getRuntime().halt(code);
    }

    record Entry(String name, String host, int frontendPort, int readinessPort) {
        boolean isReady() {
            try {
                return Http.call(host, readinessPort, "GET", "/api/readiness", "r", null, "", 900).status == 200;
            } catch (IOException refused) {
                return false;
            }
        }
    }

    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }
}

/** A minimal HTTP/1.1 client with one channel for each call. */
final class Http {
    final int status;
    final String body;

    private Http(int status, String body) {
        this.status = status;
        this.body = body;
    }

    static Http call(
        String host, int port, String method, String path, String hostHeader, String deadline, String body, int timeout
    ) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), timeout);
            socket.setSoTimeout(timeout);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + hostHeader
                + "\r\nContent-Type: application/json\r\n"
                + (deadline == null ? "" : "Deadline-Ms: " + deadline + "\r\n")
                + "Content-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            InputStream in = socket.getInputStream();
            StringBuilder headers = new StringBuilder();
            while (headers.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) throw new IOException("the channel ended without an answer");
                headers.append((char) next);
            }
            Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(headers);
            byte[] answer = length.find() ? in.readNBytes(Integer.parseInt(length.group(1))) : new byte[0];
            return new Http(Integer.parseInt(headers.substring(9, 12)), new String(answer, StandardCharsets.UTF_8));
        }
    }

    static String read(HttpExchange exchange) throws IOException {
        return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    }

    static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    static HttpServer serve(String host, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(Deployment.THREADS);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (IOException closed) {
                exchange.close();
            } catch (Exception failure) {
                failure.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    interface Handler {
        void handle(HttpExchange exchange) throws Exception;
    }
}

/** The platform's store: items, ranges, watches, transactions and leases, in memory. */
final class Store {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final List<String[]> events = new ArrayList<>();
    private final int port;
    private final Deployment deployment;
    private long revision = 10;

    Store(Deployment deployment) throws IOException {
        this.deployment = deployment;
        port = Deployment.freePort("127.0.0.1");
        Http.serve("127.0.0.1", port, this::handle);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized long put(String key, String value) {
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        deployment.log("operator writes " + key + " at revision " + revision);
        return revision;
    }

    private synchronized void set(String key, String encoded, long lease) {
        revision++;
        Item item = new Item(encoded, revision, lease);
        items.put(key, item);
        events.add(new String[] {key, "" + revision, item.row(key)});
    }

    private synchronized void expire() {
        long now = Deployment.now();
        leases.entrySet().removeIf(lease -> lease.getValue()[0] < now);
        for (String key : new ArrayList<>(items.keySet())) {
            long lease = items.get(key).lease;
            if (lease == 0 || leases.containsKey(lease)) continue;
            items.remove(key);
            revision++;
            events.add(new String[] {key, "" + revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"});
        }
    }

    private void handle(HttpExchange exchange) throws Exception {
        String path = exchange.getRequestURI().getPath();
        String body = Http.read(exchange);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                query.put(part.replaceFirst("=.*", ""), URLDecoder.decode(part.replaceFirst("[^=]*=?", ""), StandardCharsets.UTF_8));
            }
        }
        expire();
        Thread.sleep(4);
        if (path.equals("/api/kv-range")) {
            Http.answer(exchange, 200, range(query.get("prefix")));
        } else if (path.equals("/api/kv-watch")) {
            long end = Deployment.now() + Long.parseLong(query.get("wait_ms"));
            String found = watch(query, false);
            while (found == null && Deployment.now() < end) {
                Thread.sleep(10);
                expire();
                found = watch(query, false);
            }
            Http.answer(exchange, 200, found == null ? watch(query, true) : found);
        } else if (path.equals("/api/kv-txn")) {
            transaction(exchange, body);
        } else if (path.equals("/api/kv-lease")) {
            Http.answer(exchange, 200, grant(Json.number(body, "ttl_ms")));
        } else if (path.startsWith("/api/kv-keep/")) {
            long[] lease = keep(Long.parseLong(path.substring("/api/kv-keep/".length())));
            Http.answer(exchange, lease == null ? 404 : 200, lease == null ? "{}" : "{\"ttl_ms\":" + lease[1] + "}");
        } else {
            Http.answer(exchange, 404, "{}");
        }
    }

    private synchronized String grant(long ttl) {
        long id = ++revision;
        leases.put(id, new long[] {Deployment.now() + ttl, ttl});
        return "{\"lease\":" + id + ",\"ttl_ms\":" + ttl + "}";
    }

    private synchronized long[] keep(long id) {
        long[] lease = leases.get(id);
        if (lease != null) lease[0] = Deployment.now() + lease[1];
        return lease;
    }

    private synchronized void transaction(HttpExchange exchange, String body) throws IOException {
        Matcher set = Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?").matcher(body);
        while (set.find()) {
            long lease = set.group(3) == null ? 0 : Long.parseLong(set.group(3));
            if (lease != 0 && !leases.containsKey(lease)) {
                Http.answer(exchange, 404, "{}");
                return;
            }
            set(set.group(1), set.group(2), lease);
        }
        Http.answer(exchange, 200, "{\"revision\":" + revision + "}");
    }

    private synchronized String range(String prefix) {
        List<String> rows = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) rows.add(item.row(key));
        });
        return "{\"items\":[" + String.join(",", rows) + "],\"has_more\":false,\"at_rev\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query, boolean evenIfNone) {
        long after = Long.parseLong(query.get("after"));
        List<String> rows = new ArrayList<>();
        for (String[] event : events) {
            if (event[0].startsWith(query.get("prefix")) && Long.parseLong(event[1]) > after) rows.add(event[2]);
        }
        if (rows.isEmpty() && !evenIfNone) return null;
        return "{\"events\":[" + String.join(",", rows) + "],\"at_rev\":" + revision + "}";
    }

    private record Item(String encoded, long revision, long lease) {
        String row(String key) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + encoded + "\",\"revision\":" + revision
                + ",\"created_at\":" + revision + ",\"lease\":" + lease + "}";
        }
    }
}

/** Reads single fields of the flat bodies that the programs send. */
final class Json {
    static long number(String body, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":(-?\\d+)").matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : 0;
    }

    static boolean has(String body, String name) {
        return body.contains("\"" + name + "\":");
    }

    static String text(String body, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
        return found.find() ? found.group(1) : "";
    }
}
