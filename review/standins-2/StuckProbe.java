import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * No case, since no rule of the pages judges it: a worker is unhealthy for six seconds, then clients leave early for six
 * seconds. Does the entry use the worker again, and does it serve jobs when the other worker drains?
 */
final class StuckProbe {
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","route_type":"unsafe","timeout_ms":5000,\
        "target_completion_ms":4000,"priority":0,"service":"svc","attempts":3,"slack_factor":1.6}],\
        "services":[{"name":"svc","health_path":"/health","max_conns":64,"enforce_limits":true}],\
        "limits":{"max_body_bytes":262144}}""";
    private static final AtomicInteger JOBS = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments[0], StuckProbe::play);
    }

    private static boolean play(Deployment deployment, boolean trouble) throws Exception {
        String seeds = deployment.hosts + "11:" + deployment.internalPort;
        Deployment.Entry entry = deployment.entry(1, seeds);
        List<Worker> workers = List.of(new Worker(deployment, 1), new Worker(deployment, 2));
        deployment.store.put("op/config", CONFIGURATION);
        deployment.start(entry.name());
        for (int index = 0; index < workers.size(); index++) {
            deployment.agent("side-" + index, workers.get(index), seeds);
            deployment.start("side-" + index);
            workers.get(index).begin();
        }
        deployment.await("the entry is ready", 20_000, entry::isReady);
        for (Worker worker : workers) deployment.await("the worker has its agent", 20_000, worker::isHeld);
        deployment.await("a job is served", 20_000, () -> post(entry, 100, 3_000) == 200);
        Worker first = workers.get(0);
        load(entry, 6_000, 150, 3_000);
        first.isUnhealthy = trouble;
        load(entry, 6_000, 150, 3_000);
        first.isUnhealthy = false;
        load(entry, 6_000, 1_500, trouble ? 600 : 3_000);
        load(entry, 5_000, 150, 3_000);
        long from = Deployment.now();
        load(entry, 15_000, 150, 3_000);
        long starts;
        synchronized (first) {
            starts = first.starts.stream().filter(it -> it.at() > from).count();
        }
        deployment.log("starts on the first worker, healthy for over 11 s, in 15 s: " + starts);
        workers.get(1).drain();
        Thread.sleep(3_000);
        int served = 0;
        for (int count = 0; count < 10; count++) if (post(entry, 150, 3_000) == 200) served++;
        deployment.log("jobs served of 10 while the second worker drains: " + served);
        return starts > 0 && served > 0;
    }

    /** Five clients send jobs of one task for [millis], one after the other. */
    private static void load(Deployment.Entry entry, long millis, int taskMillis, int deadline) throws InterruptedException {
        long end = Deployment.now() + millis;
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < 5; client++) {
            clients.add(new Thread(() -> {
                while (Deployment.now() < end) post(entry, taskMillis, deadline);
            }));
        }
        clients.forEach(Thread::start);
        for (Thread client : clients) client.join();
    }

    private static int post(Deployment.Entry entry, int taskMillis, int deadline) {
        String body = "{\"spec\":\"" + taskMillis + "\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
            + "\"est_runtime_ms\":" + taskMillis + "}]}";
        String path = "/q/" + String.format("%016x", JOBS.incrementAndGet());
        try {
            return Http.call(entry.host(), entry.frontendPort(), "POST", path, "jobs.example", "" + deadline, body, deadline + 500).status;
        } catch (IOException unanswered) {
            return 0;
        }
    }
}
