import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A path for HTTP calls on which chosen orders get no answer and arrive late, as PROTOCOL.md says of calls. */
final class LateCalls {
    private final String targetHost;
    private final int targetPort;
    private final Record record;
    private final AtomicLong delayMillis;

    /** @param delayMillis delay of the next start, which gets no answer; 0 for none. Paths can share it. */
    LateCalls(String host, int port, String targetHost, int targetPort, AtomicLong delayMillis, Record record)
        throws IOException {
        this.delayMillis = delayMillis;
        this.targetHost = targetHost;
        this.targetPort = targetPort;
        this.record = record;
        new Http.Server(host, port, this::forward);
    }

    private Http.Response forward(Http.Request request) throws Exception {
        long millis = request.path().equals("/api/run-start") ? delayMillis.getAndSet(0) : 0;
        if (millis == 0) return forwardNow(request);
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
