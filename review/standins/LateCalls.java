import java.io.IOException;
import java.util.Map;

/** A path for HTTP calls on which chosen orders get no answer and arrive late, as PROTOCOL.md says of calls. */
final class LateCalls {
    private final String targetHost;
    private final int targetPort;
    private final Record record;
    private volatile long delayMillis;

    LateCalls(String host, int port, String targetHost, int targetPort, Record record) throws IOException {
        this.targetHost = targetHost;
        this.targetPort = targetPort;
        this.record = record;
        new Http.Server(host, port, this::forward);
    }

    /** Delays the next start by this time; it gets no answer. */
    void delayNextStart(long millis) {
        delayMillis = millis;
    }

    private Http.Response forward(Http.Request request) throws Exception {
        long millis = delayMillis;
        if (millis == 0 || !request.path().equals("/api/run-start")) return forwardNow(request);
        delayMillis = 0;
        record.line("LATE   %s is delayed by %d ms: %s", request.path(), millis, request.body());
        Threads.start("late-call", () -> {
            Threads.sleep(millis);
            Http.Response response = forwardNow(request);
            record.line("LATE   %s arrives: %d %s", request.path(), response.status(), response.body());
        });
        Threads.sleep(20_000);
        return null;
    }

    private Http.Response forwardNow(Http.Request request) throws IOException {
        try (Http.Call call = new Http.Call()) {
            Map<String, String> headers = new java.util.LinkedHashMap<>();
            String expected = request.headers().get("expected-instance");
            if (expected != null) headers.put("Expected-Instance", expected);
            return call.send(targetHost, targetPort, request.method(), request.path(), headers, request.body(), 5000);
        }
    }
}
