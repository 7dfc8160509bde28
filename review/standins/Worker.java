import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker as PROTOCOL.md describes it: starts, stops, leases, epoch numbers, lists of what runs and what has ended.
 *
 * A task works for as many milliseconds as its spec says, for example `work=3000`. The worker can crash, and start
 * again at the same address under the same id.
 */
final class Worker {
    /** A run as the outside sees it; an end of 0 means that it is at work. */
    static final class Run {
        final String task;
        final long number;
        final String worker;
        final long startNanos = System.nanoTime();
        final long workNanos;
        final long cpu;
        long stopAtNanos;
        volatile long endNanos;
        volatile String how = "";

        Run(String task, long number, String worker, long workMillis, long cpu) {
            this.task = task;
            this.number = number;
            this.worker = worker;
            this.workNanos = workMillis * 1_000_000;
            this.cpu = cpu;
        }

        long percent() {
            return Math.min(100, (System.nanoTime() - startNanos) * 100 / workNanos);
        }
    }

    private record Ended(long sequence, Run run, String how) {}

    static final long LONGEST_LEASE_MILLIS = 1000;
    static final long STOP_MILLIS = 10;
    private static final long FIRST_CLOCK_MILLIS = 60_000;

    volatile String id;
    final String host;
    final int port;
    private final String service;
    private final int controlPort;
    private final Record record;
    private final List<Run> all;
    private final long cpu;
    private long cpuOfTask = 1000;

    private Http.Server server;
    private boolean isUp;
    private long born;
    private long startNanos;
    private long sequence;
    private long fence;
    private long leaseEndMillis;
    private long lastEnd;
    private Map<String, Run> active = new LinkedHashMap<>();
    private Map<String, Long> highest = new HashMap<>();
    private List<Ended> ended = new ArrayList<>();
    volatile String state = "ready";

    Worker(String id, String service, String host, int port, int controlPort, long cpu, List<Run> all, Record record) {
        this.id = id;
        this.service = service;
        this.host = host;
        this.port = port;
        this.controlPort = controlPort;
        this.cpu = cpu;
        this.all = all;
        this.record = record;
        Threads.start("worker-" + id, this::sweep);
        Threads.start("beats-" + id, this::beat);
    }

    /** Starts a new life under another id, at the same address. */
    synchronized void startAs(String newId) throws IOException {
        id = newId;
        start();
    }

    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        startNanos = System.nanoTime();
        sequence = 0;
        fence = 0;
        leaseEndMillis = 0;
        lastEnd = 0;
        active = new LinkedHashMap<>();
        highest = new HashMap<>();
        ended = new ArrayList<>();
        state = "ready";
        isUp = true;
        server = new Http.Server(host, port, this::answer);
        record.line("worker %s starts, born %d", id, born);
    }

    /** Ends as a killed process does: what runs ends, the address has no listener, channels are reset. */
    synchronized void crash() {
        isUp = false;
        server.crash();
        for (Run run : active.values()) {
            run.how = "crashed";
            run.endNanos = System.nanoTime();
        }
        record.line("worker %s crashes", id);
        active = new LinkedHashMap<>();
        notifyAll();
    }

    synchronized List<Run> active() {
        return new ArrayList<>(active.values());
    }

    /** CPU, in thousandths of a core, that each task of the day takes. */
    void cpuOfTask(long cpu) {
        cpuOfTask = cpu;
    }

    private Http.Response answer(Http.Request request) throws Exception {
        Map<String, Object> body = Json.object(request.body());
        synchronized (this) {
            if (!isUp) return null;
            String expected = request.headers().get("expected-instance");
            if (expected != null && !expected.equals(id)) return new Http.Response(421, "{}");
            if (request.path().equals("/health")) return new Http.Response(200, "{}");
            long token = ((Number) body.getOrDefault("fence_token", 0L)).longValue();
            if (token < fence) return rejected("fence");
            fence = token;
            return switch (request.path()) {
                case "/api/run-start" -> startRun(body);
                case "/api/run-stop" -> stopRun(body);
                case "/api/hold" -> hold(body);
                default -> new Http.Response(404, "{}");
            };
        }
    }

    private Http.Response startRun(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = (Long) body.get("run_id");
        long deadline = (Long) body.get("deadline_ms");
        Run present = active.get(task);
        if (present != null && present.number == number) return accepted();
        if (number <= highest.getOrDefault(task, 0L)) {
            renew(deadline);
            return rejected("old");
        }
        if (deadline <= clock()) return rejected("late");
        long used = active.values().stream().mapToLong(run -> run.cpu).sum();
        if (used + cpuOfTask > cpu) {
            renew(deadline);
            return rejected("room");
        }
        renew(deadline);
        String spec = (String) body.get("spec");
        long work = Long.parseLong(spec.substring(spec.indexOf('=') + 1));
        Run run = new Run(task, number, id + "/" + born, work, cpuOfTask);
        active.put(task, run);
        highest.put(task, number);
        synchronized (all) {
            all.add(run);
        }
        record.line("START  %s run %d on %s", task, number, run.worker);
        return accepted();
    }

    private Http.Response stopRun(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = (Long) body.get("run_id");
        highest.merge(task, number, Math::max);
        Run run = active.get(task);
        if (run != null && run.number <= number && run.stopAtNanos == 0) {
            run.stopAtNanos = System.nanoTime() + STOP_MILLIS * 1_000_000;
            record.line("stop   %s run %d on %s", task, number, run.worker);
        }
        return accepted();
    }

    private Http.Response hold(Map<String, Object> body) throws InterruptedException {
        long bornAtCall = born;
        if (body.get("deadline_ms") != null) renew((Long) body.get("deadline_ms"));
        long seen = ((Number) body.getOrDefault("last_seen", 0L)).longValue();
        ended.removeIf(end -> end.sequence <= seen);
        long endNanos = System.nanoTime() + ((Number) body.getOrDefault("wait_ms", 0L)).longValue() * 1_000_000;
        while (isUp && ended.isEmpty()) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) break;
            wait(leftMillis);
        }
        if (!isUp || born != bornAtCall) return null;
        List<Object> running = new ArrayList<>();
        for (Run run : active.values()) running.add(List.of(run.task, run.number, "", run.percent(), run.cpu));
        List<Object> ends = new ArrayList<>();
        for (Ended end : ended.subList(0, Math.min(500, ended.size()))) {
            ends.add(List.of(end.sequence, end.run.task, end.run.number, end.how, ""));
        }
        return Http.Response.json(200,
            Json.of("clock_ms", clock(), "born", born, "active", running, "ended_runs", ends));
    }

    private void renew(long deadline) {
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadline, clock() + LONGEST_LEASE_MILLIS));
    }

    private void sweep() {
        while (true) {
            Threads.sleep(1);
            synchronized (this) {
                if (!isUp) continue;
                boolean hasLapsed = clock() > leaseEndMillis;
                for (Run run : new ArrayList<>(active.values())) {
                    long now = System.nanoTime();
                    if (run.stopAtNanos != 0 && now >= run.stopAtNanos) end(run, "stopped");
                    else if (now - run.startNanos >= run.workNanos) end(run, "done");
                    else if (hasLapsed) end(run, "lapsed");
                }
            }
        }
    }

    private void end(Run run, String how) {
        active.remove(run.task);
        run.how = how;
        run.endNanos = System.nanoTime();
        ended.add(new Ended(++lastEnd, run, how));
        record.line("END    %s run %d on %s: %s", run.task, run.number, run.worker, how);
        notifyAll();
    }

    private void beat() {
        while (true) {
            String report = null;
            synchronized (this) {
                if (isUp) {
                    report = Json.write(Json.of("service", service, "address", host + ":" + port, "zone", "z1",
                        "version", "v1", "slots", 8, "state", state, "warmup_left_ms", 0, "capacity",
                        Json.of("cpu", cpu, "mem_mb", 65536, "gpu", 0), "labels", List.of("a", "r1-1"), "clock_ms",
                        clock(), "born", born, "seq_no", ++sequence));
                }
            }
            boolean isAcknowledged = report == null || isAcknowledged(report);
            Threads.sleep(report == null ? 20 : isAcknowledged ? 1500 : 200);
        }
    }

    private boolean isAcknowledged(String report) {
        try {
            return Http.call(host, controlPort, "POST", "/api/Instances.Heartbeat/" + id, report, 1000).status() / 100
                == 2;
        } catch (IOException unanswered) {
            return false;
        }
    }

    private long clock() {
        return FIRST_CLOCK_MILLIS + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private Http.Response accepted() {
        return Http.Response.json(200, Json.of("clock_ms", clock(), "born", born));
    }

    private Http.Response rejected(String reason) {
        return Http.Response.json(409, Json.of("clock_ms", clock(), "born", born, "reason", reason));
    }
}
