import java.nio.file.Path;
import java.util.Map;

/** Runs one case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Case {
    /** A case returns what broke the rule; null if the rule held. */
    interface Body {
        String run(Record record, boolean hasTrouble) throws Exception;
    }

    private Case() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Body> cases = Cases.ALL;
        Record record = new Record(Path.of(arguments[1]));
        Threads.start("limit", () -> {
            Threads.sleep(110_000);
            record.line("The case took too long.");
            System.exit(2);
        });
        int code;
        try {
            String broken = cases.get(arguments[0]).run(record, hasTrouble);
            String result = broken == null ? "The rule held." : "BROKEN: " + broken;
            record.line("%s", result);
            System.out.println(result);
            code = broken == null ? 0 : 1;
        } catch (Throwable failure) {
            record.line("The case could not run: %s", failure);
            failure.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
