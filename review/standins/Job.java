import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client that hands in one job that needn't be kept, and waits for the answer. */
final class Job {
    /** Time beyond the limit for which the client still reads, for the way of the answer. */
    private static final int LATENCY_MILLIS = 300;

    final String id;
    final long sentNanos = System.nanoTime();
    volatile int status = -1;
    volatile String body = "";
    volatile long answeredNanos;
    private final Http.Call call = new Http.Call();
    private final Thread thread;

    Job(Installation installation, Installation.Entry entry, String prefix, String id, String steps, long workMillis,
        long patienceMillis) {
        this.id = id;
        String text = "{\"spec\":\"work=" + workMillis + "\",\"best_effort\":true,\"steps\":[" + steps + "]}";
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Installation.HOST_HEADER);
        headers.put("Deadline-Ms", Long.toString(patienceMillis));
        installation.record.line("SENT   POST %s%s to %s", prefix, id, entry.ip);
        thread = Threads.start("job-" + id, () -> {
            try (call) {
                Http.Response response =
                    call.send(entry.ip, entry.frontend, "POST", prefix + id, headers, text, (int) patienceMillis + LATENCY_MILLIS);
                body = response.body();
                answeredNanos = System.nanoTime();
                status = response.status();
            } catch (IOException unanswered) {
                body = unanswered.toString();
                answeredNanos = System.nanoTime();
                status = 0;
            }
            installation.record.line("ANSWER %s: %s", id, outcome());
        });
    }

    void join() throws InterruptedException {
        thread.join();
    }

    boolean isAnswered() {
        return status >= 0;
    }

    String outcome() {
        return status < 0 ? "none yet" : status == 0 ? "no answer, " + body : status + " " + body;
    }
}
