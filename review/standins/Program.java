import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the `run` line of a role of the deploy file. */
final class Program {
    final String name;
    private final String role;
    private final Path directory;
    private final Record record;
    private final Path settings;
    private Process process;

    Program(String name, String role, Path directory, Record record, List<String> lines) throws IOException {
        this.name = name;
        this.role = role;
        this.directory = directory;
        this.record = record;
        settings = directory.resolve(name + ".conf");
        Files.write(settings, lines);
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(runLine());
        builder.environment().put("EGRETLOCK_BOOT", settings.toString());
        File log = directory.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        record.line("process %s starts, id %d", name, process.pid());
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal to this process only, for example STOP, CONT or TERM. */
    void signal(String signal) throws IOException, InterruptedException {
        record.line("process %s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void kill() {
        if (process != null) process.destroyForcibly();
    }

    private List<String> runLine() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]+)\"").matcher(deploy);
        if (!matcher.find()) throw new IOException("No role " + role + " in the deploy file.");
        List<String> words = new ArrayList<>(Arrays.asList(matcher.group(1).split(" ")));
        words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        return words;
    }
}
