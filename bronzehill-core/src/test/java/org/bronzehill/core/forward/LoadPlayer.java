package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Plays a load of streams on a {@link ForwardRig} whose engines read prompts one after the other,
 * and counts the streams that begin within their target.
 */
final class LoadPlayer {

    private static final Duration TARGET = Duration.ofMillis(800);

    /** Time without an event after which a caller abandons a stream. */
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    /** Size of a prompt of {@link ForwardRig}. */
    private static final int PROMPT_TOKENS = 500;

    private final ForwardRig rig;
    private final Duration readTime;
    private final Duration outputTime;
    private final Random random = new Random(7);
    private final Map<String, Long> readingUntil = new HashMap<>();
    private final Map<FakeTransport, String> running = new HashMap<>();
    private final Set<String> crashed = new HashSet<>();
    private Counts counts = new Counts();
    private int retries;

    /** Outcomes of the streams that have been played. */
    static final class Counts {
        int offered;
        int inTime;
        int late;
        int refused;
        int refusedLate;
        int resumed;
        int continued;
        int abandonedAtEngine;
        int mostAtAnEngine;

        int begun() {
            return inTime + late;
        }

        /** Returns the part of the new streams that have begun. */
        double begunShare() {
            return (double) begun() / offered;
        }

        /** Returns the part of the resumed streams that have gone on. */
        double continuedShare() {
            return (double) continued / resumed;
        }

        @Override
        public String toString() {
            return "offered %d, in time %d, late %d, refused %d, of these after a wait %d"
                            .formatted(offered, inTime, late, refused, refusedLate)
                    + "; resumed %d, continued %d, abandoned at an engine %d, most at an engine %d"
                            .formatted(resumed, continued, abandonedAtEngine, mostAtAnEngine);
        }
    }

    /**
     * @param tokensPerMs reading pace of an engine
     * @param outputTime time from the first event of a stream to its last
     */
    LoadPlayer(ForwardRig rig, double tokensPerMs, Duration outputTime) {
        this.rig = rig;
        this.readTime = Duration.ofNanos((long) (PROMPT_TOKENS / tokensPerMs * 1e6));
        this.outputTime = outputTime;
        rig.setTarget(TARGET);
    }

    /**
     * Plays streams that arrive at random times, and waits until they have ended.
     *
     * @param perSecond mean arrival rate
     * @param adapter chooses the adapter of each stream by its number; 0 for the base model
     */
    Counts play(double perSecond, Duration time, IntSupplier adapter) {
        begin(perSecond, time, adapter);
        rig.scheduler().advance(Duration.ofSeconds(4));
        return counts;
    }

    /**
     * Plays streams without waiting for their end. Counts from zero for the streams of this call.
     */
    Counts begin(double perSecond, Duration time, IntSupplier adapter) {
        counts = new Counts();
        return continueWith(perSecond, time, adapter);
    }

    /** Plays streams without waiting for their end, and adds them to the counts. */
    private Counts continueWith(double perSecond, Duration time, IntSupplier adapter) {
        Counts begun = counts;
        long end = rig.scheduler().time().nanoTime() + time.toNanos();
        while (rig.scheduler().time().nanoTime() - end < 0) {
            open(adapter.getAsInt(), begun, retries);
            double gap = -Math.log(1 - random.nextDouble()) / perSecond;
            rig.scheduler().advance(Duration.ofNanos((long) (gap * 1e9)));
        }
        return begun;
    }

    /**
     * Plays streams that arrive at random times while callers resume streams that were broken off
     * before, and waits until they have ended. A caller that is refused comes back as told.
     *
     * @param streams number of streams that are resumed, at random times in the first second
     * @param version software version that began them
     * @param tries number of requests that a caller sends for its stream at most
     */
    Counts playResumed(double perSecond, Duration time, int streams, String version, int tries) {
        counts = new Counts();
        counts.resumed = streams;
        for (int i = 0; i < streams; i++) {
            String first = "broken" + i;
            rig.reportBegun(first, version);
            Duration delay = Duration.ofNanos(i * Duration.ofSeconds(1).toNanos() / streams);
            rig.scheduler().after(delay, () -> resume(first, counts, tries));
        }
        continueWith(perSecond, time, () -> 0);
        rig.scheduler().advance(Duration.ofSeconds(4));
        return counts;
    }

    private void resume(String first, Counts counted, int triesLeft) {
        FakeTransport t = new FakeTransport();
        Runnable onEvent =
                () -> {
                    counted.continued++;
                    t.call().onAnswerBegun();
                };
        t.onSend(() -> rig.scheduler().after(Duration.ZERO, () -> read(t, onEvent)));
        t.onRefused(
                () -> {
                    if (triesLeft > 1) {
                        Runnable retry = () -> resume(first, counted, triesLeft - 1);
                        t.retryAfter().forEach(d -> rig.scheduler().after(d, retry));
                    }
                });
        rig.resume(first, t);
        rig.scheduler()
                .after(
                        PATIENCE,
                        () -> {
                            if (!t.call().hasAnswerBegun() && !t.call().hasEnded()) {
                                counted.abandonedAtEngine += t.attempts().isEmpty() ? 0 : 1;
                                t.call().onCallerDisconnected();
                            }
                        });
    }

    /** Makes callers send each refused request again at once, up to the given number of times. */
    void retryRefused(int times) {
        retries = times;
    }

    /** Crashes an engine, with the streams that run there. */
    void crash(String engine) {
        rig.engines().crash(engine);
        crashed.add(engine);
        for (Map.Entry<FakeTransport, String> e : Map.copyOf(running).entrySet()) {
            if (e.getValue().equals(engine)) {
                running.remove(e.getKey());
                e.getKey().call().onConnectionLost("reset");
            }
        }
    }

    /** Returns adapters of which few get most of the streams, as with Zipf's law. */
    IntSupplier skewedAdapters(int number) {
        double[] cumulative = new double[number];
        double total = 0;
        for (int i = 0; i < number; i++) {
            total += 1 / Math.pow(i + 1, 1.2);
            cumulative[i] = total;
        }
        double all = total;
        return () -> {
            double point = random.nextDouble() * all;
            int i = 0;
            while (cumulative[i] < point) {
                i++;
            }
            return i + 1;
        };
    }

    private void open(int adapter, Counts counted, int retriesLeft) {
        counted.offered++;
        AdapterRef ref = adapter == 0 ? new AdapterRef("m", "") : ForwardRig.adapter(adapter);
        long arrived = rig.scheduler().time().nanoTime();
        FakeTransport t = new FakeTransport();
        Runnable onEvent =
                () -> {
                    if (rig.scheduler().time().nanoTime() - arrived <= TARGET.toNanos()) {
                        counted.inTime++;
                    } else {
                        counted.late++;
                    }
                };
        t.onSend(() -> rig.scheduler().after(Duration.ZERO, () -> read(t, onEvent)));
        t.onRefused(
                () -> {
                    counted.refused++;
                    if (rig.scheduler().time().nanoTime() - arrived > 0) {
                        counted.refusedLate++;
                    }
                    if (retriesLeft > 0) {
                        Runnable retry = () -> open(adapter, counted, retriesLeft - 1);
                        rig.scheduler().after(Duration.ZERO, retry);
                    }
                });
        rig.open(RequestKind.STREAM, 1, Option.of(ref), t);
    }

    private void read(FakeTransport t, Runnable onEvent) {
        String engine = t.last().upstream().id();
        if (crashed.contains(engine)) {
            t.call().onUnreachable("connect-failed");
            return;
        }
        running.put(t, engine);
        counts.mostAtAnEngine = Math.max(counts.mostAtAnEngine, rig.forwarder().requestsAt(engine));
        long now = rig.scheduler().time().nanoTime();
        long done = Math.max(now, readingUntil.getOrDefault(engine, now)) + readTime.toNanos();
        readingUntil.put(engine, done);
        rig.scheduler().after(Duration.ofNanos(done - now), () -> answer(t, onEvent));
    }

    private void answer(FakeTransport t, Runnable onEvent) {
        if (running.remove(t) == null || t.call().hasEnded()) {
            return;
        }
        onEvent.run();
        t.call().onProgress();
        rig.scheduler().after(outputTime, () -> t.call().onComplete(200));
    }
}
