package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Process that the driver has started and can signal. */
public final class ManagedProcess {

    private static final Logger LOG = Logger.getLogger(ManagedProcess.class);

    private final String name;
    private final Process process;
    private boolean paused;

    private ManagedProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /** Starts a program whose output is appended to {@code log}. */
    static ManagedProcess start(
            String name, List<String> command, Map<String, String> environment, Path log)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        LOG.debugf("%s has pid %d", name, process.pid());
        return new ManagedProcess(name, process);
    }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit status of a process that has ended. */
    public int exitStatus() {
        return process.exitValue();
    }

    /** Requests a graceful shutdown with SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Waits until the process exits; returns false on a timeout. */
    public boolean awaitExit(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Kills the process with SIGKILL. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    /** Pauses the process with SIGSTOP until {@link #resume}. */
    public void pause() throws IOException, InterruptedException {
        paused = true;
        signal("STOP");
    }

    /** Resumes a paused process with SIGCONT. */
    public void resume() throws IOException, InterruptedException {
        paused = false;
        signal("CONT");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        String[] command = {"kill", "-" + signal, Long.toString(process.pid())};
        if (new ProcessBuilder(command).inheritIO().start().waitFor() != 0) {
            throw new IOException("cannot send SIG" + signal + " to " + name);
        }
    }

    /** Terminates the process, and kills it if it does not exit within a second. */
    void terminateOrKill() {
        try {
            if (paused) {
                process.destroyForcibly();
            }
            process.destroy();
            if (!process.waitFor(1, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    void requestTermination() {
        if (!paused) {
            process.destroy();
        }
    }
}
