import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * UNASKED: the operator drops a queue while one of its jobs runs; later the job's client cancels it, again and again until
 * it gets an ack.
 */
final class DroppedRoute {
    private static final String ROUTE = """
        {"name":"%s","host":"jobs.example","prefix":"/%s/","route_type":"unsafe","timeout_ms":25000,\
        "target_completion_ms":10000,"priority":0,"service":"svc","attempts":2,"slack_factor":1.6}""";
    private static final String CONFIGURATION = """
        {"version":%d,"routes":[%s],"services":[{"name":"svc","health_path":"/health","max_conns":64,"enforce_limits":true}],\
        "limits":{"max_body_bytes":262144}}""";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int STEPS = 28;
    private static final int TASK_MILLIS = 600;
    private static final int ACK_MILLIS = 4_000;
    private static final int CANCEL_MILLIS = 3_000;
    private static final int STABLE_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments[0], DroppedRoute::play);
    }

    private static boolean play(Deployment deployment, boolean trouble) throws Exception {
        String seeds = deployment.hosts + "11:" + deployment.internalPort;
        Deployment.Entry entry = deployment.entry(1, seeds);
        List<Worker> workers = List.of(new Worker(deployment, 1), new Worker(deployment, 2));
        String both = String.format(ROUTE, "q", "q") + "," + String.format(ROUTE, "other", "other");
        deployment.store.put("op/config", String.format(CONFIGURATION, 3, both));
        deployment.start(entry.name());
        for (int index = 0; index < workers.size(); index++) {
            deployment.agent("side-" + index, workers.get(index), seeds);
            deployment.start("side-" + index);
            workers.get(index).begin();
        }
        deployment.await("the entry is ready", 20_000, entry::isReady);
        for (Worker worker : workers) deployment.await("the worker has its agent", 20_000, worker::isHeld);
        deployment.await("a job is served", 20_000, () -> post(deployment, entry, "00000000000000aa", 1, 100) == 200);
        Thread.sleep(STABLE_MILLIS);

        Deployment.THREADS.submit(() -> post(deployment, entry, JOB, STEPS, TASK_MILLIS));
        deployment.await("the job runs", 5_000, () -> startsAfter(workers, 0) > 0);
        Thread.sleep(300);
        // Without the disruption the next version keeps the queue and drops the other one.
        String kept = trouble ? "other" : "q";
        deployment.store.put("op/config", String.format(CONFIGURATION, 8, String.format(ROUTE, kept, kept)));
        Thread.sleep(STABLE_MILLIS + 200);

        long firstSent = Deployment.now();
        long acknowledged = -1;
        while (acknowledged < 0 && Deployment.now() < firstSent + ACK_MILLIS) {
            Http cancel = Http.call(entry.host(), entry.frontendPort(), "DELETE", "/q/" + JOB, "jobs.example", "1500", "", 3_000);
            deployment.log("client: DELETE answered " + cancel.status + " " + cancel.body);
            if (cancel.status / 100 == 2 || cancel.status == 410) acknowledged = Deployment.now();
            Thread.sleep(500);
        }
        long counted = acknowledged >= 0 ? acknowledged : firstSent + ACK_MILLIS;
        deployment.log(acknowledged >= 0 ? "the cancel has its ack" : "the cancel has waited ack_ms of steady state for its ack");
        Thread.sleep(Math.max(0, counted + CANCEL_MILLIS + 4_000 - Deployment.now()));
        long late = startsAfter(workers, counted + CANCEL_MILLIS);
        deployment.log("tasks of the job that a worker began later than cancel_ms after that: " + late);
        return late == 0;
    }

    private static long startsAfter(List<Worker> workers, long after) {
        long count = 0;
        for (Worker worker : workers) {
            synchronized (worker) {
                count += worker.starts.stream().filter(it -> it.task().startsWith(JOB) && it.at() > after).count();
            }
        }
        return count;
    }

    private static int post(Deployment deployment, Deployment.Entry entry, String job, int steps, int taskMillis) {
        List<String> list = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            String after = step == 0 ? "" : ",\"after\":[" + (step - 1) + "]";
            list.add("{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":" + taskMillis + after + "}");
        }
        String body = "{\"spec\":\"" + taskMillis + "\",\"best_effort\":true,\"steps\":[" + String.join(",", list) + "]}";
        deployment.log("client: POST " + job + " with " + steps + " steps");
        try {
            Http answer = Http.call(entry.host(), entry.frontendPort(), "POST", "/q/" + job, "jobs.example", "30000", body, 31_000);
            deployment.log("client: POST " + job + " answered " + answer.status + " " + answer.body);
            return answer.status;
        } catch (IOException broken) {
            deployment.log("client: POST " + job + " got no answer: " + broken.getMessage());
            return 0;
        }
    }
}
