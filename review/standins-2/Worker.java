import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker as PROTOCOL.md describes it: status reports, starts, stops, leases on its own steady clock, epoch numbers and
 * lists of runs. A task takes as many milliseconds as its `spec` says. After [end] and [begin] it is a new incarnation
 * with another id at the same address, which knows nothing of before.
 */
final class Worker {
    final Deployment deployment;
    final String host;
    final int appPort;
    final int controlPort;
    final String service = "svc";
    final List<Start> starts = new ArrayList<>();
    /** Whether it refuses starts with 503, as an unhealthy worker does. */
    volatile boolean isUnhealthy;

    /** Id of the current incarnation. */
    volatile String id;
    private final int number;
    private int incarnations;
    private HttpServer server;
    private long born;
    private long beganAt;
    private long sequence;
    private long token;
    private long leaseEnd;
    private long lastEnd;
    private boolean isUp;
    private volatile String state = "ready";
    private final Map<String, Run> active = new HashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<String> ended = new ArrayList<>();
    private final List<Long> endNumbers = new ArrayList<>();

    record Start(long at, String worker, String task, long run) {}

    /** A start that got no answer and is carried out later. */
    record LateStart(String body, String expectedInstance) {}

    /** Decides whether a start gets no answer and is kept for [carryOut]; null if none does. */
    volatile java.util.function.Predicate<String> keepsLate;
    volatile LateStart late;

    private static final class Run {
        String task;
        long number;
        long beganAt;
        long endsAt;
        long stopsAt = Long.MAX_VALUE;
    }

    Worker(Deployment deployment, int number) throws IOException {
        this.deployment = deployment;
        this.number = number;
        host = deployment.hosts + (30 + number);
        appPort = Deployment.freePort(host);
        controlPort = Deployment.freePort(host);
    }

    String appAddress() {
        return host + ":" + appPort;
    }

    /** Starts a new incarnation and its status reports. */
    synchronized void begin() throws IOException {
        id = "i-worker-" + number + "-" + ++incarnations;
        born = System.currentTimeMillis();
        beganAt = System.nanoTime();
        sequence = 0;
        token = 0;
        leaseEnd = 0;
        lastEnd = 0;
        active.clear();
        highest.clear();
        ended.clear();
        endNumbers.clear();
        state = "ready";
        isUp = true;
        server = Http.serve(host, appPort, this::handle);
        deployment.log(id + " begins, born " + born);
        long incarnation = born;
        Deployment.THREADS.execute(() -> {
            while (isUp && born == incarnation) {
                report();
                sleep(1500);
            }
        });
        Deployment.THREADS.execute(() -> {
            while (isUp && born == incarnation) {
                endDue();
                sleep(2);
            }
        });
    }

    /** Ends the process of the worker and everything that runs on it. */
    synchronized void end() {
        isUp = false;
        active.values().forEach(run -> deployment.log(id + " run " + run.task + "#" + run.number + " ends with its worker"));
        active.clear();
        server.stop(0);
        deployment.log(id + " ended");
    }

    synchronized int activeCount() {
        return active.size();
    }

    /** Whether its agent calls it. */
    synchronized boolean isHeld() {
        return token > 0;
    }

    synchronized boolean isRunning(String task) {
        return active.containsKey(task);
    }

    /** Says that it drains; returns the time of the ack. */
    long drain() throws Exception {
        state = "draining";
        int status = 0;
        while (status != 200) {
            status = report();
            if (status != 200) Thread.sleep(100);
        }
        long at = Deployment.now();
        deployment.log(id + " said draining and got the ack 200");
        return at;
    }

    void deregister() throws IOException {
        int status = Http.call(host, controlPort, "POST", "/api/Instances.Deregister/" + id, "c", null, "{}", 1000).status;
        deployment.log(id + " deregistered: " + status);
    }

    private int report() {
        String body;
        synchronized (this) {
            body = "{\"service\":\"" + service + "\",\"address\":\"" + appAddress() + "\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":8,\"state\":\"" + state + "\",\"warmup_left_ms\":0,"
                + "\"capacity\":{\"cpu\":4000,\"mem_mb\":4096,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
                + "\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"seq_no\":" + (++sequence) + "}";
        }
        try {
            int status = Http.call(host, controlPort, "POST", "/api/Instances.Heartbeat/" + id, "c", null, body, 1000).status;
            deployment.log(id + " status report " + state + " seq " + sequence + ": " + status);
            return status;
        } catch (IOException unanswered) {
            return 0;
        }
    }

    private long clock() {
        return (System.nanoTime() - beganAt) / 1_000_000;
    }

    private void handle(HttpExchange exchange) throws Exception {
        String path = exchange.getRequestURI().getPath();
        String body = Http.read(exchange);
        String answer;
        synchronized (this) {
            endDue();
            long given = Json.number(body, "fence_token");
            String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
            if (expected != null && !expected.equals(id)) {
                Http.answer(exchange, 421, "{\"clock_ms\":" + clock() + "}");
                return;
            }
            if (path.equals("/api/run-start") && keepsLate != null && late == null && keepsLate.test(body)) {
                late = new LateStart(body, expected);
                deployment.log(id + " leaves a start unanswered: " + body);
                return;
            }
            if (isUnhealthy && path.equals("/api/run-start")) {
                Http.answer(exchange, 503, "{\"clock_ms\":" + clock() + "}");
                return;
            }
            answer = given < token ? rejection("fence") : null;
            if (answer == null) {
                token = given;
                if (path.equals("/api/run-start")) answer = start(body);
                else if (path.equals("/api/run-stop")) answer = stop(body);
                else if (Json.has(body, "deadline_ms")) extend(body);
            }
        }
        if (answer == null) answer = hold(body);
        Http.answer(exchange, answer.contains("\"reason\"") ? 409 : 200, answer);
    }

    /** Carries the late start out in the incarnation that is there now, as if it had just arrived. */
    synchronized void carryOut() {
        endDue();
        long given = Json.number(late.body, "fence_token");
        String answer;
        if (late.expectedInstance != null && !late.expectedInstance.equals(id)) {
            answer = "421";
        } else if (given < token) {
            answer = rejection("fence");
        } else {
            token = given;
            answer = start(late.body);
        }
        deployment.log(id + " carries the late start out: " + answer);
    }

    private String rejection(String reason) {
        return "{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"reason\":\"" + reason + "\"}";
    }

    private void extend(String body) {
        leaseEnd = Math.max(leaseEnd, Math.min(Json.number(body, "deadline_ms"), clock() + 1000));
    }

    private String start(String body) {
        String task = Json.text(body, "task");
        long number = Json.number(body, "run_id");
        if (Json.number(body, "deadline_ms") <= clock()) return rejection("late");
        extend(body);
        Run same = active.get(task);
        if (same == null || same.number != number) {
            if (number <= highest.getOrDefault(task, 0L)) return rejection("old");
            if (same != null || active.size() >= 4) return rejection("room");
            Run run = new Run();
            run.task = task;
            run.number = number;
            run.beganAt = clock();
            run.endsAt = clock() + Long.parseLong(Json.text(body, "spec"));
            active.put(task, run);
            starts.add(new Start(Deployment.now(), id, task, number));
            deployment.log(id + " begins run " + task + "#" + number);
        }
        return "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}";
    }

    private String stop(String body) {
        String task = Json.text(body, "task");
        long number = Json.number(body, "run_id");
        highest.merge(task, number, Math::max);
        Run run = active.get(task);
        if (run != null && run.number == number) run.stopsAt = Math.min(run.stopsAt, clock() + 20);
        deployment.log(id + " told to stop " + task + "#" + number);
        return "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}";
    }

    private String hold(String body) throws InterruptedException {
        long seen = Json.number(body, "last_seen");
        long end = Deployment.now() + Json.number(body, "wait_ms");
        synchronized (this) {
            for (int index = endNumbers.size() - 1; index >= 0; index--) {
                if (endNumbers.get(index) <= seen) {
                    endNumbers.remove(index);
                    ended.remove(index);
                }
            }
        }
        while (Deployment.now() < end && !hasEnds()) Thread.sleep(3);
        synchronized (this) {
            endDue();
            List<String> rows = new ArrayList<>();
            for (Run run : active.values()) {
                long percent = Math.min(99, (clock() - run.beganAt) * 100 / Math.max(1, run.endsAt - run.beganAt));
                rows.add("[\"" + run.task + "\"," + run.number + ",\"\"," + percent + ",1000]");
            }
            return "{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"active\":[" + String.join(",", rows)
                + "],\"ended_runs\":[" + String.join(",", ended.subList(0, Math.min(500, ended.size()))) + "]}";
        }
    }

    private synchronized boolean hasEnds() {
        return !ended.isEmpty();
    }

    private synchronized void endDue() {
        long now = clock();
        for (Run run : new ArrayList<>(active.values())) {
            String how = run.endsAt <= now ? "done" : run.stopsAt <= now ? "stopped" : leaseEnd < now ? "lapsed" : null;
            if (how == null) continue;
            active.remove(run.task);
            highest.merge(run.task, run.number, Math::max);
            lastEnd++;
            endNumbers.add(lastEnd);
            ended.add("[" + lastEnd + ",\"" + run.task + "\"," + run.number + ",\"" + how + "\",\"\"]");
            deployment.log(id + " run " + run.task + "#" + run.number + " ends " + how);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
