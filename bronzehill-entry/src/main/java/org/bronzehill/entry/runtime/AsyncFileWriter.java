package org.bronzehill.entry.runtime;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import org.jboss.logging.Logger;
import org.jctools.queues.SpscArrayQueue;

/**
 * Writes text to a file on a background thread. Callers never block: text is dropped and counted
 * when the ring buffer is full.
 */
public final class AsyncFileWriter extends Writer {

    private static final Logger LOG = Logger.getLogger(AsyncFileWriter.class);
    private static final int RING_CAPACITY = 16_384;
    private static final long POLL_INTERVAL_NANOS = 20_000_000;

    private final SpscArrayQueue<String> ring = new SpscArrayQueue<>(RING_CAPACITY);
    private final Writer file;
    private final Thread thread = new Thread(this::run, "trace-writer");
    private volatile boolean closed;
    private volatile long droppedWrites;

    private AsyncFileWriter(Writer file) {
        this.file = file;
        thread.setDaemon(true);
    }

    /** Creates or truncates the file and starts the thread. */
    public static AsyncFileWriter open(Path path) throws IOException {
        AsyncFileWriter writer = new AsyncFileWriter(Files.newBufferedWriter(path));
        writer.thread.start();
        return writer;
    }

    @Override
    public void write(char[] text, int from, int length) {
        if (!ring.offer(new String(text, from, length))) {
            droppedWrites++;
        }
    }

    /** Does nothing; the background thread flushes when the ring buffer is empty. */
    @Override
    public void flush() {}

    /** Writes the queued text and closes the file. */
    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        file.close();
        if (droppedWrites > 0) {
            LOG.warnf(
                    "trace is incomplete: %d writes dropped, ring buffer was full", droppedWrites);
        }
    }

    private void run() {
        try {
            boolean lastPass = false;
            while (!lastPass) {
                lastPass = closed;
                drain();
                if (!lastPass) {
                    LockSupport.parkNanos(this, POLL_INTERVAL_NANOS);
                }
            }
        } catch (IOException e) {
            LOG.error("cannot write the trace file; recording ends", e);
        }
    }

    private void drain() throws IOException {
        boolean wrote = false;
        for (String text = ring.poll(); text != null; text = ring.poll()) {
            file.write(text);
            wrote = true;
        }
        if (wrote) {
            file.flush();
        }
    }
}
