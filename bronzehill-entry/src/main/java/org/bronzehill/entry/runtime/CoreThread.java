package org.bronzehill.entry.runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.EntryCore;
import org.bronzehill.core.node.Input;
import org.bronzehill.entry.upstream.InputSink;
import org.jboss.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * The thread that runs the decision core. Inputs are queued in a bounded ring buffer, which refuses
 * inputs when it is full and never blocks. New requests are refused before it is full, so that the
 * outcomes of the requests in flight can still be queued.
 */
public final class CoreThread implements InputSink, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(CoreThread.class);
    private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();
    private static final int MAX_BATCH_INPUTS = 256;

    private final MpscArrayQueue<Object> ring;
    private final int requestThreshold;
    private final EntryCore core;
    private final Effects effects;
    private final Runnable onInputLost;
    private final Consumer<Object> onInputFailed;
    private final Thread thread = new Thread(this::run, "core");
    private Consumer<Input> observer = input -> {};
    private volatile boolean stopped;
    private volatile boolean parked;

    private CoreThread(
            int capacity,
            EntryCore core,
            Effects effects,
            Runnable onInputLost,
            Consumer<Object> onInputFailed) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.requestThreshold = ring.capacity() * 3 / 4;
        this.core = core;
        this.effects = effects;
        this.onInputLost = onInputLost;
        this.onInputFailed = onInputFailed;
        thread.setDaemon(true);
    }

    /**
     * Creates a thread that is not started.
     *
     * @param capacity size of the ring buffer
     * @param onInputLost called for each input that is lost because the ring buffer is full
     * @param onInputFailed receives each input or query whose handling threw an exception
     */
    public static CoreThread create(
            int capacity,
            EntryCore core,
            Effects effects,
            Runnable onInputLost,
            Consumer<Object> onInputFailed) {
        return new CoreThread(capacity, core, effects, onInputLost, onInputFailed);
    }

    /**
     * Sets an observer, which receives every input before it is handled; to be called before the
     * thread is started.
     */
    public void setObserver(Consumer<Input> newObserver) {
        observer = newObserver;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Queues a new request; returns false without queueing it if the ring buffer is three quarters
     * full.
     */
    public boolean offerRequest(Input input) {
        boolean queued = ring.offerIfBelowThreshold(input, requestThreshold);
        wake();
        return queued;
    }

    /** Queues an input. If the ring buffer is full, the input is dropped, like a lost message. */
    @Override
    public void accept(Input input) {
        if (!ring.offer(input)) {
            onInputLost.run();
        }
        wake();
    }

    /**
     * Reads the core's state on the core thread; the future fails if the ring buffer is three
     * quarters full.
     */
    public <T> CompletableFuture<T> query(Function<EntryCore, T> read) {
        Query<T> query = new Query<>(read, new CompletableFuture<>());
        if (!ring.offerIfBelowThreshold(query, requestThreshold)) {
            // The text says "full", but a quarter is left for inputs other than new requests.
            query.result()
                    .completeExceptionally(
                            new IllegalStateException("the core's ring buffer is full"));
        }
        wake();
        return query.result();
    }

    private record Query<T>(Function<EntryCore, T> read, CompletableFuture<T> result) {
        void run(EntryCore core) {
            result.complete(read.apply(core));
        }
    }

    private void wake() {
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        long nextTick = System.nanoTime();
        while (!stopped) {
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                nextTick = now + TICK_INTERVAL_NANOS;
                handle(new Input.Tick());
            }
            int handled = ring.drain(this::handle, MAX_BATCH_INPUTS);
            if (handled == 0) {
                park(nextTick);
            }
        }
    }

    /** Sets the flag before it checks the ring buffer again, so that no wake-up is missed. */
    private void park(long nextTick) {
        parked = true;
        if (ring.isEmpty() && !stopped) {
            LockSupport.parkNanos(this, Math.max(1, nextTick - System.nanoTime()));
        }
        parked = false;
    }

    /** Catches exceptions, because all other requests depend on this thread. */
    private void handle(Object item) {
        try {
            if (item instanceof Query<?> query) {
                query.run(core);
            } else {
                Input input = (Input) item;
                observer.accept(input);
                core.handle(input, effects);
            }
        } catch (RuntimeException e) {
            LOG.errorf(e, "core failed to handle %s", item.getClass().getSimpleName());
            onInputFailed.accept(item);
        }
    }

    /** Returns the number of queued inputs and queries. */
    public int queued() {
        return ring.size();
    }

    @Override
    public void close() {
        stopped = true;
        LockSupport.unpark(thread);
        try {
            thread.join(TimeUnit.SECONDS.toMillis(2));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
