import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: another writer's status report, with fields missing, reaches an agent. Later the agent's worker says that it
 * drains, and the agent acknowledges that.
 */
final class OddReport {
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","route_type":"unsafe","timeout_ms":1500,\
        "target_completion_ms":60,"priority":0,"service":"svc","attempts":2,"slack_factor":1.6}],\
        "services":[{"name":"svc","health_path":"/health","max_conns":64,"enforce_limits":true}],\
        "limits":{"max_body_bytes":262144}}""";
    private static final int CLIENTS = 40;
    private static final int DRAIN_MILLIS = 2_000;
    private static final AtomicInteger JOBS = new AtomicInteger();

    private static final int WORKERS = 16;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments[0], OddReport::play);
    }

    private static boolean play(Deployment deployment, boolean trouble) throws Exception {
        String seeds = "127.0.0.11:" + deployment.internalPort;
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
        deployment.await("a job is served", 20_000, () -> post(deployment, entry) == 200);
        for (int client = 0; client < CLIENTS; client++) {
            Deployment.THREADS.execute(() -> {
                while (true) post(deployment, entry);
            });
        }
        Thread.sleep(5_000);
        Worker leaving = workers.get(0);
        if (trouble) {
            // No zone, version, slots, warmup_left_ms, labels and clock_ms: several fields of a status report are missing.
            String report = "{\"service\":\"" + leaving.service + "\",\"address\":\"127.0.0.99:9\",\"state\":\"ready\","
                + "\"capacity\":{\"cpu\":4000,\"mem_mb\":4096},\"born\":" + System.currentTimeMillis() + ",\"seq_no\":1}";
            int status = Http.call(leaving.host, leaving.controlPort, "POST", "/api/Instances.Heartbeat/i-other", "c", null, report, 1000).status;
            deployment.log("another writer's status report " + report + " answered " + status);
        }
        Thread.sleep(5_000);
        long acknowledged = leaving.drain();
        Thread.sleep(8_000);
        int before = leaving.activeCount();
        leaving.deregister();
        leaving.end();
        Thread.sleep(1_000);
        long late;
        synchronized (leaving) {
            late = leaving.starts.stream().filter(it -> it.at() > acknowledged + DRAIN_MILLIS).count();
        }
        deployment.log("tasks begun on the draining worker later than drain_ms after the ack: " + late);
        deployment.log("runs that ended with the worker when it left: " + before);
        return late == 0;
    }

    private static int post(Deployment deployment, Deployment.Entry entry) {
        String job = String.format("%016x", JOBS.incrementAndGet());
        String body = "{\"spec\":\"250\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":250}]}";
        try {
            Http answer = Http.call(entry.host(), entry.frontendPort(), "POST", "/q/" + job, "jobs.example", "1500", body, 1_500);
            deployment.log("client: POST " + job + " answered " + answer.status + " " + answer.body);
            if (answer.status != 200) Thread.sleep(300);
            return answer.status;
        } catch (IOException broken) {
            deployment.log("client: POST " + job + " got no answer: " + broken.getMessage());
            return 0;
        } catch (InterruptedException interrupted) {
            return 0;
        }
    }
}
