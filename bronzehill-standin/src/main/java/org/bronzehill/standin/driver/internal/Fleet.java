package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** All processes of a run. Terminates them when it is closed or when the driver exits. */
public final class Fleet implements AutoCloseable {

    private final List<ManagedProcess> processes = new ArrayList<>();
    private final Path logs;
    private final Thread hook = new Thread(this::terminateAll, "end-processes");
    private boolean closed;

    private Fleet(Path logs) {
        this.logs = logs;
    }

    /** Creates a fleet whose processes write their logs to a directory. */
    public static Fleet create(Path logs) throws IOException {
        Files.createDirectories(logs);
        Fleet fleet = new Fleet(logs);
        Runtime.getRuntime().addShutdownHook(fleet.hook);
        return fleet;
    }

    public synchronized ManagedProcess start(
            String name, List<String> command, Map<String, String> environment) throws IOException {
        if (closed) {
            throw new IOException("cannot start a process while the run is shutting down");
        }
        ManagedProcess process =
                ManagedProcess.start(name, command, environment, logs.resolve(name + ".log"));
        processes.add(process);
        return process;
    }

    private synchronized void terminateAll() {
        closed = true;
        processes.forEach(ManagedProcess::requestTermination);
        processes.forEach(ManagedProcess::terminateOrKill);
    }

    /** Returns the number of processes that are still running. */
    public synchronized long running() {
        return processes.stream().filter(ManagedProcess::isAlive).count();
    }

    /** Returns the number of processes that exited with the given status. */
    public synchronized long countExitedWith(int status) {
        return processes.stream().filter(p -> !p.isAlive() && p.exitStatus() == status).count();
    }

    @Override
    public void close() {
        terminateAll();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The JVM of the driver is shutting down and already runs the hook.
        }
    }
}
