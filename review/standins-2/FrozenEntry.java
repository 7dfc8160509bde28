import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TWICE: the machine of an entry freezes for four seconds while it holds a job. The client's keep-alive probes get no
 * answer, so that its channel breaks and it sends the job again, which another entry takes. Then the machine wakes.
 */
final class FrozenEntry {
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","route_type":"unsafe","timeout_ms":25000,\
        "target_completion_ms":60,"priority":0,"service":"svc","attempts":3,"slack_factor":1.6}],\
        "services":[{"name":"svc","health_path":"/health","max_conns":64,"enforce_limits":true}],\
        "limits":{"max_body_bytes":262144}}""";
    private static final int WORKERS = 8;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String TASK = JOB + ".0.0.0";
    private static final int TASK_MILLIS = 7_500;
    private static final int FREEZE_MILLIS = 4_000;
    private static final int RESEND_MILLIS = 1_300;

    /** Keep-alive of the client's channel: a second without traffic, then two probes, one a second. */
    private static final int KEEP_ALIVE_MILLIS = 2_500;
    private static final AtomicInteger JOBS = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments[0], FrozenEntry::play);
    }

    private static boolean play(Deployment deployment, boolean trouble) throws Exception {
        String port = ":" + deployment.internalPort;
        String hosts = deployment.hosts;
        String seeds = hosts + 11 + port + "," + hosts + 12 + port + "," + hosts + 13 + port;
        List<Deployment.Entry> entries = new ArrayList<>();
        for (int number = 1; number <= 3; number++) entries.add(deployment.entry(number, seeds));
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= WORKERS; number++) workers.add(new Worker(deployment, number));
        deployment.store.put("op/config", CONFIGURATION);
        for (Deployment.Entry entry : entries) deployment.start(entry.name());
        for (int index = 0; index < WORKERS; index++) {
            deployment.agent("side-" + index, workers.get(index), seeds);
            deployment.start("side-" + index);
            workers.get(index).begin();
        }
        Balancer ingress = new Balancer(deployment, entries);
        deployment.await("all entries in rotation", 20_000, () -> entries.stream().allMatch(ingress::isInRotation));
        for (Worker worker : workers) deployment.await("the worker has its agent", 20_000, worker::isHeld);
        deployment.await("a job is served", 20_000, () -> post(deployment, ingress, String.format("%016x", JOBS.incrementAndGet()), 100) == 200);
        Thread.sleep(3_000);

        Deployment.Entry home = ingress.select();
        long sent = Deployment.now();
        AtomicInteger result = new AtomicInteger(-1);
        Deployment.THREADS.submit(() -> {
            int status = post(deployment, ingress, JOB, TASK_MILLIS);
            while (status == 0 || status == 502 || status == 504) {
                Thread.sleep(RESEND_MILLIS);
                status = post(deployment, ingress, JOB, TASK_MILLIS);
            }
            result.set(status);
            return null;
        });
        deployment.await("the task runs", 5_000, () -> workers.stream().anyMatch(it -> it.isRunning(TASK)));
        Thread.sleep(800);
        if (trouble) {
            ingress.silence(home);
            deployment.signal(home.name(), "STOP");
            Deployment.THREADS.submit(() -> {
                Thread.sleep(FREEZE_MILLIS);
                ingress.unsilence(home);
                deployment.signal(home.name(), "CONT");
                return null;
            });
        }
        long both = 0;
        long end = sent + 22_000;
        while (Deployment.now() < end && (result.get() < 0 || workers.stream().anyMatch(it -> it.isRunning(TASK)))) {
            if (workers.stream().filter(it -> it.isRunning(TASK)).count() > 1) both++;
            Thread.sleep(1);
        }
        deployment.log("the job's client has got " + result.get());
        deployment.log("about " + both + " ms with two runs of task " + TASK + " at the same time");
        return both == 0;
    }

    /** Sends a job; returns the status of the answer, or 0 if the channel breaks. */
    private static int post(Deployment deployment, Balancer ingress, String job, int taskMillis) {
        String body = "{\"spec\":\"" + taskMillis + "\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
            + "\"est_runtime_ms\":" + taskMillis + "}]}";
        Deployment.Entry entry = ingress.select();
        deployment.log("client: POST " + job);
        try (Socket channel = new Socket("127.0.0.1", ingress.port)) {
            channel.setSoTimeout(100);
            String head = "POST /q/" + job + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
                + "Deadline-Ms: 20000\r\nContent-Length: " + body.length() + "\r\n\r\n";
            channel.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            InputStream in = channel.getInputStream();
            StringBuilder answer = new StringBuilder();
            long end = Deployment.now() + 20_000;
            while (Deployment.now() < end) {
                try {
                    int next = in.read();
                    if (next < 0) break;
                    answer.append((char) next);
                    if (answer.indexOf("\r\n\r\n") > 0 && answer.charAt(answer.length() - 1) == '}') {
                        deployment.log("client: POST " + job + " answered " + answer.substring(9, 12));
                        return Integer.parseInt(answer.substring(9, 12));
                    }
                } catch (java.net.SocketTimeoutException quiet) {
                    if (ingress.silentMillis(entry) >= KEEP_ALIVE_MILLIS) break;
                }
            }
        } catch (IOException broken) {
            deployment.log("client: " + broken.getMessage());
        }
        deployment.log("client: POST " + job + ": the channel is broken, no answer");
        return 0;
    }
}
