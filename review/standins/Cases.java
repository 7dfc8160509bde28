import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** The cases of this review. */
final class Cases {
    static final Map<String, Case.Body> ALL = Map.of(
        "refused-path", Cases::refusedPath,
        "cancel-elsewhere", Cases::cancelElsewhere,
        "held-order", Cases::heldOrder,
        "late-order", Cases::lateOrder,
        "odd-report", Cases::oddReport,
        "stop-waiting", Cases::stopWaiting,
        "silent-store", Cases::silentStore);

    private Cases() {}

    /** TWICE: a worker is cut off by a path that refuses, and runs on. */
    static String refusedPath(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 2, 3, 8000, false)) {
            system.start();
            Job job = system.job(system.entries.get(0), 1, 4000, 1000, 20_000);
            Threads.sleep(1000);
            Worker.Run run = lastRun(system, job.id);
            Proxy path = system.sideOf(run).workerPath;
            if (hasTrouble) {
                record.line("CUT    worker %s is cut off with resets and refusals for 2 s", run.worker);
                path.refuse();
            }
            Threads.sleep(2000);
            if (hasTrouble) {
                path.heal();
                record.line("CUT    ends");
            }
            job.join();
            return system.overlap();
        }
    }

    /** UNASKED: an entry is restarted, and a client's cancelling reaches another entry than its job. */
    static String cancelElsewhere(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 2, 3, 8000, false)) {
            system.start();
            Balancer balancer = new Balancer(system.entries, record);
            int client = 1;
            Installation.Entry usual = balancer.entryFor(client);
            if (hasTrouble) {
                usual.program.signal("TERM");
                while (balancer.isIn(usual)) Threads.sleep(10);
            }
            Installation.Entry home = balancer.entryFor(client);
            String steps = Installation.step(1, 1000, 12_000, "") + "," + Installation.step(1, 1000, 12_000, ",\"after\":[0]");
            Job job = system.job(home, system.newId(), steps, 12_000, 60_000);
            if (hasTrouble) {
                if (!usual.program.awaitEnd(6500)) throw new IllegalStateException("The entry did not stop.");
                usual.program.start();
                while (!balancer.isIn(usual)) Threads.sleep(10);
                record.line("The entry %s is back.", usual.ip);
            }
            Threads.sleep(4000);
            Installation.Entry asked = balancer.entryFor(client);
            Http.Response response;
            try (Http.Call call = new Http.Call()) {
                record.line("SENT   DELETE %s to %s", job.id, asked.ip);
                response = call.send(asked.ip, asked.frontend, "DELETE", Installation.PREFIX + job.id,
                    Map.of("Host", Installation.HOST_HEADER), "", 4000);
            }
            long acknowledgedNanos = System.nanoTime();
            record.line("ANSWER DELETE %s: %d", job.id, response.status());
            if (response.status() / 100 != 2 && response.status() != 410) return null;
            Threads.sleep(16_000);
            synchronized (system.runs) {
                for (Worker.Run run : system.runs) {
                    long millis = (run.startNanos - acknowledgedNanos) / 1_000_000;
                    if (run.task.startsWith(job.id) && millis > CANCEL_MILLIS) {
                        return run.task + " was started " + millis + " ms after the cancelling was acknowledged";
                    }
                }
            }
            return null;
        }
    }

    /** TWICE: a machine is cut off for about two seconds; an order that was held up starts a task a second time. */
    static String heldOrder(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 1, 3, 8000, true)) {
            system.start();
            for (int round = 0; round < 9 && system.overlap() == null; round++) {
                Threads.sleep(3200);
                Installation.Side side = system.sides.get(round % 3);
                if (hasTrouble) {
                    record.line("CUT    machine of %s is cut off from the entry for 2 s", side.worker.id);
                    side.entryPaths.forEach(Proxy::hold);
                }
                Threads.sleep(20);
                Job job = system.job(system.entries.get(0), 3, 1400, 8000, 20_000);
                Threads.sleep(1980);
                if (hasTrouble) {
                    for (Proxy path : side.entryPaths) path.heal();
                    record.line("CUT    ends");
                }
                job.join();
            }
            return system.overlap();
        }
    }

    /** TWICE: an order gets no answer and arrives late, in the next life of its worker. */
    static String lateOrder(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 1, 2, 8000, false)) {
            AtomicLong delayMillis = new AtomicLong();
            for (Installation.Side side : system.sides) {
                side.workerPath.refuse();
                new LateCalls(side.worker.host, side.workerPath.port(), side.worker.host, side.worker.port, delayMillis, record);
            }
            system.start();
            if (hasTrouble) delayMillis.set(2500);
            Job job = system.job(system.entries.get(0), 1, 5000, 1000, 20_000);
            Threads.sleep(1000);
            if (hasTrouble) {
                Worker.Run run = lastRun(system, job.id);
                Installation.Side other = system.sides.stream().filter(side -> side != system.sideOf(run)).findFirst().get();
                other.worker.crash();
                Threads.sleep(300);
                other.worker.startAs("i-new");
            }
            job.join();
            return system.overlap();
        }
    }

    /** RECOVER: after a restart of everything another writer leaves one odd status report at each agent. */
    static String oddReport(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 2, 3, 8000, false)) {
            system.start();
            int before = served(system, 20);
            for (Installation.Entry entry : system.entries) entry.program.signal("KILL");
            for (Installation.Side side : system.sides) side.agent.signal("KILL");
            Threads.sleep(1000);
            for (Installation.Entry entry : system.entries) entry.program.start();
            for (Installation.Side side : system.sides) side.agent.start();
            for (Installation.Entry entry : system.entries) system.awaitReady(entry);
            record.line("All machines are back.");
            Threads.sleep(3000);
            if (hasTrouble) {
                for (Installation.Side side : system.sides) {
                    String report = Json.write(Json.of("service", "unheard-of", "address", "127.0.0.99:9", "zone", "z1",
                        "version", "v1", "slots", 8, "state", "ready", "warmup_left_ms", 0, "capacity",
                        Json.of("cpu", 1000, "mem_mb", 1024, "gpu", 0), "labels", List.of(), "clock_ms", 1, "born",
                        System.currentTimeMillis(), "seq_no", 1));
                    Http.Response answer = Http.call(side.worker.host, side.control, "POST",
                        "/api/Instances.Heartbeat/i-odd", report, 1000);
                    record.line("SENT   odd status report to %s: %d", side.worker.host, answer.status());
                }
            }
            Threads.sleep(13_000);
            int after = served(system, 20);
            record.line("served before %d of 20, after %d of 20", before, after);
            return after * 4 < 20 && before * 4 >= 20 ? "served " + after + " of 20, before the fault " + before : null;
        }
    }

    /** LOST: an entry gets SIGTERM; a job whose second step waits for room gets no answer. */
    static String stopWaiting(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 2, 1, 8000, false)) {
            system.start();
            String steps = Installation.step(1, 4000, 2000, "") + "," + Installation.step(1, 8000, 2000, ",\"after\":[0]");
            Job job = system.job(system.entries.get(0), system.newId(), steps, 2000, 60_000);
            Threads.sleep(500);
            Job blocker = system.job(system.entries.get(1), 1, 12_000, 4000, 60_000);
            Threads.sleep(500);
            if (hasTrouble) system.entries.get(0).program.signal("TERM");
            job.join();
            blocker.join();
            return job.status == 0 ? job.id + " got no answer: " + job.body : null;
        }
    }

    /** CONFIG: the open channels between entries and store go silent for good, while new ones work. */
    static String silentStore(Record record, boolean hasTrouble) throws Exception {
        try (Installation system = new Installation(record, 2, 2, 8000, false)) {
            system.start();
            String dropped = "/dropped/";
            system.configure(Installation.route(Installation.PREFIX), Installation.route(dropped));
            Threads.sleep(4300);
            long silentNanos = System.nanoTime();
            if (hasTrouble) {
                record.line("SILENT the open channels between entries and store");
                system.entryStorePath.silenceOpenChannels();
            }
            Threads.sleep(100);
            system.configure(Installation.route(Installation.PREFIX));
            long acknowledgedNanos = System.nanoTime();
            String broken = null;
            while ((System.nanoTime() - silentNanos) / 1_000_000 < 6000) {
                for (Installation.Entry entry : system.entries) {
                    long sentMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
                    boolean isInTouch = (System.nanoTime() - silentNanos) / 1_000_000 > STABLE_WINDOW_MILLIS;
                    Job job = new Job(system, entry, dropped, system.newId(), Installation.step(1, 1000, 20, ""), 20, 3000);
                    job.join();
                    if (isInTouch && sentMillis > CONFIG_APPLY_MILLIS && job.status == 200 && broken == null) {
                        broken = job.id + ", sent " + sentMillis + " ms after the ack, on a dropped route: " + job.outcome();
                    }
                }
                Threads.sleep(100);
            }
            return broken;
        }
    }

    private static int served(Installation system, int count) throws Exception {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(system.job(system.entries.get(i % system.entries.size()), 1, 50, 1000, 1500));
            Threads.sleep(100);
        }
        int served = 0;
        for (Job job : jobs) {
            job.join();
            if (job.status == 200) served++;
        }
        return served;
    }

    static Worker.Run lastRun(Installation system, String job) {
        synchronized (system.runs) {
            List<Worker.Run> runs = system.runs.stream().filter(run -> run.task.startsWith(job + ".")).toList();
            if (runs.isEmpty()) throw new IllegalStateException("No task of " + job + " has started.");
            return runs.get(runs.size() - 1);
        }
    }

    private static final long CANCEL_MILLIS = 3000;
    private static final long CONFIG_APPLY_MILLIS = 2000;
    private static final long STABLE_WINDOW_MILLIS = 3000;
}
