import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TWICE: a start gets no answer; its task is started on another worker. The machine of the first worker loses power and
 * comes back with a new incarnation of the worker, which carries the late start out before its agent has called it.
 */
final class LateStart {
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","route_type":"unsafe","timeout_ms":15000,\
        "target_completion_ms":60,"priority":0,"service":"svc","attempts":3,"slack_factor":1.6}],\
        "services":[{"name":"svc","health_path":"/health","max_conns":64,"enforce_limits":true}],\
        "limits":{"max_body_bytes":262144}}""";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String TASK = JOB + ".0.0.0";
    private static final AtomicInteger JOBS = new AtomicInteger();

    private static final int WORKERS = 8;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments[0], LateStart::play);
    }

    private static boolean play(Deployment deployment, boolean trouble) throws Exception {
        String seeds = deployment.hosts + "11:" + deployment.internalPort;
        Deployment.Entry entry = deployment.entry(1, seeds);
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= WORKERS; number++) workers.add(new Worker(deployment, number));
        deployment.store.put("op/config", CONFIGURATION);
        deployment.start(entry.name());
        for (int index = 0; index < workers.size(); index++) {
            deployment.agent("side-" + index, workers.get(index), seeds);
            deployment.start("side-" + index);
            workers.get(index).begin();
        }
        deployment.await("the entry is ready", 20_000, entry::isReady);
        for (int index = 0; index < WORKERS; index++) {
            int number = index;
            deployment.await("worker " + number + " has its agent", 20_000, () -> workers.get(number).isHeld());
        }
        deployment.await("a job is served", 20_000, () -> post(deployment, entry, nextJob(), 100) == 200);
        Thread.sleep(2_000);
        // One late order among fifty orders stays below the share of late orders that the site files use.
        for (int count = 0; count < 25; count++) post(deployment, entry, nextJob(), 50);

        AtomicInteger kept = new AtomicInteger();
        if (trouble) workers.forEach(it -> it.keepsLate = body -> body.contains(TASK) && kept.getAndIncrement() == 0);
        long sent = Deployment.now();
        Deployment.THREADS.submit(() -> post(deployment, entry, JOB, 7_000));
        deployment.await("the task runs", 5_000, () -> workers.stream().anyMatch(it -> it.isRunning(TASK)));
        if (trouble) {
            int first = 0;
            while (workers.get(first).late == null) first++;
            Thread.sleep(500);
            deployment.log("machine side-" + first + " loses power");
            deployment.signal("side-" + first, "KILL");
            workers.get(first).end();
            Thread.sleep(Math.max(0, sent + 2_500 - Deployment.now()));
            deployment.log("machine side-" + first + " is back");
            workers.get(first).begin();
            deployment.start("side-" + first);
            Thread.sleep(50);
            deployment.log("the late start is carried out " + (Deployment.now() - sent) + " ms after the job was sent");
            workers.get(first).carryOut();
        }
        long both = 0;
        long end = sent + 9_000;
        while (Deployment.now() < end) {
            if (workers.stream().filter(it -> it.isRunning(TASK)).count() > 1) both++;
            Thread.sleep(1);
        }
        deployment.log("about " + both + " ms with two runs of task " + TASK + " at the same time");
        return both == 0;
    }

    private static String nextJob() {
        return String.format("%016x", JOBS.incrementAndGet());
    }

    private static int post(Deployment deployment, Deployment.Entry entry, String job, int taskMillis) {
        String body = "{\"spec\":\"" + taskMillis + "\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
            + "\"est_runtime_ms\":" + taskMillis + "}]}";
        deployment.log("client: POST " + job);
        try {
            Http answer = Http.call(entry.host(), entry.frontendPort(), "POST", "/q/" + job, "jobs.example", "15000", body, 15_000);
            deployment.log("client: POST " + job + " answered " + answer.status + " " + answer.body);
            return answer.status;
        } catch (IOException broken) {
            deployment.log("client: POST " + job + " got no answer: " + broken.getMessage());
            return 0;
        }
    }
}
