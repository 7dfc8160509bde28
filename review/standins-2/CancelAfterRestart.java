import java.io.IOException;
import java.util.List;

/**
 * UNASKED: a job is submitted while one of two entries is restarted as planned, and cancelled when that entry is back.
 * The client's new channel for the cancel goes to the restarted entry, which did not take the job.
 */
final class CancelAfterRestart {
    private static final String CONFIGURATION = """
        {"version":%d,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","route_type":"unsafe","timeout_ms":25000,\
        "target_completion_ms":10000,"priority":0,"service":"svc","attempts":2,"slack_factor":1.6}],\
        "services":[{"name":"svc","health_path":"/health","max_conns":64,"enforce_limits":true}],\
        "limits":{"max_body_bytes":262144}}""";
    private static final int STEPS = 22;
    private static final int TASK_MILLIS = 600;
    private static final int CANCEL_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments[0], CancelAfterRestart::play);
    }

    private static boolean play(Deployment deployment, boolean trouble) throws Exception {
        String seeds = "127.0.0.11:" + deployment.internalPort + ",127.0.0.12:" + deployment.internalPort;
        Deployment.Entry first = deployment.entry(1, seeds);
        Deployment.Entry second = deployment.entry(2, seeds);
        List<Worker> workers = List.of(new Worker(deployment, 1), new Worker(deployment, 2));
        deployment.store.put("op/config", String.format(CONFIGURATION, 1));
        deployment.start(first.name());
        deployment.start(second.name());
        for (int index = 0; index < workers.size(); index++) {
            deployment.agent("side-" + index, workers.get(index), seeds);
            deployment.start("side-" + index);
            workers.get(index).begin();
        }
        Balancer ingress = new Balancer(deployment, List.of(first, second));
        deployment.await("both entries in rotation", 20_000, () -> ingress.isInRotation(first) && ingress.isInRotation(second));
        Thread.sleep(3_000);
        deployment.await("a job is served", 20_000, () -> post(deployment, ingress, "00000000000000aa", 1, 100) == 200);

        if (trouble) {
            deployment.signal(second.name(), "TERM");
            deployment.await("edge-2 out of rotation", 10_000, () -> !ingress.isInRotation(second));
        }
        String job = "5c0e7a21d94b36f8";
        long sent = Deployment.now();
        Deployment.THREADS.submit(() -> post(deployment, ingress, job, STEPS, TASK_MILLIS));
        deployment.await("the job runs", 5_000, () -> workers.stream().anyMatch(it -> startsOf(it, job, 0) > 0));
        if (trouble) {
            deployment.await("edge-2 has ended", 10_000, () -> !deployment.processes.get(second.name()).isAlive());
            deployment.start(second.name());
            deployment.await("edge-2 in rotation", 10_000, () -> ingress.isInRotation(second));
        }
        // The restart has been over for longer than stable_window_ms when the job is cancelled.
        Thread.sleep(trouble ? 4_000 : 2_000);
        Http cancel = Http.call("127.0.0.1", ingress.port, "DELETE", "/q/" + job, "jobs.example", "1500", "", 3_000);
        long acknowledged = Deployment.now();
        deployment.log("client: DELETE answered " + cancel.status + ", " + (acknowledged - sent) + " ms after the POST was sent");
        if (cancel.status / 100 != 2 && cancel.status != 410) throw new Deployment.CannotRun("the cancel got " + cancel.status);
        Thread.sleep(CANCEL_MILLIS + 4_000);
        long late = workers.stream().mapToLong(it -> startsOf(it, job, acknowledged + CANCEL_MILLIS)).sum();
        deployment.log("tasks of the job that a worker began later than cancel_ms after the ack: " + late);
        return late == 0;
    }

    private static long startsOf(Worker worker, String job, long after) {
        synchronized (worker) {
            return worker.starts.stream().filter(it -> it.task().startsWith(job) && it.at() > after).count();
        }
    }

    private static int post(Deployment deployment, Balancer ingress, String job, int steps, int taskMillis) {
        StringBuilder list = new StringBuilder();
        for (int step = 0; step < steps; step++) {
            list.append(step == 0 ? "" : ",").append("{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":" + taskMillis);
            list.append(step == 0 ? "}" : ",\"after\":[" + (step - 1) + "]}");
        }
        String body = "{\"spec\":\"" + taskMillis + "\",\"best_effort\":true,\"steps\":[" + list + "]}";
        deployment.log("client: POST " + job + " with " + steps + " steps");
        try {
            Http answer = Http.call("127.0.0.1", ingress.port, "POST", "/q/" + job, "jobs.example", "20000", body, 21_000);
            deployment.log("client: POST " + job + " answered " + answer.status + " " + answer.body);
            return answer.status;
        } catch (IOException broken) {
            deployment.log("client: POST " + job + " got no answer: " + broken.getMessage());
            return 0;
        }
    }
}
