import java.io.IOException;

/** Starts daemon threads whose input and output may fail when their peer ends. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static Thread start(String name, Task task) {
        Thread t =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // The connection or the run has ended.
                            }
                        },
                        name,
                        256 << 10);
        t.setDaemon(true);
        t.start();
        return t;
    }
}
