/** Daemon threads whose exceptions end only themselves. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Http.Action action) {
        Thread thread = new Thread(() -> Http.quietly(action), name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(millis, 0));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
