package org.bronzehill.core.crash;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.CrashMark;
import org.bronzehill.protocol.generated.CrashMarks;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Counts, by request fingerprint, the crashes of upstreams that were running the request. A crash
 * mark is the count of one reporter for one fingerprint. Each instance counts the crashes that it
 * observes and sends its counts to its peers; the counts of all reporters are added.
 */
public final class CrashRegistry {

    /** Number of crashes at which a request is refused. */
    public static final int REFUSAL_THRESHOLD = 2;

    /** Time after which the counts of a fingerprint expire if no further crash is counted. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    /**
     * Maximum number of fingerprints; the one whose marks were recorded or received least recently
     * is dropped first.
     */
    public static final int MAX_FINGERPRINTS = 4096;

    private static final Duration RESEND_INTERVAL = Duration.ofSeconds(5);
    private static final int MARKS_PER_MESSAGE = 256;

    private final String self;
    private final Supplier<? extends Collection<String>> peers;
    private final TimeSource time;
    private final Map<ByteString, Entry> entries = new LinkedHashMap<>();
    private long nextResendNanos;

    private CrashRegistry(
            String self, Supplier<? extends Collection<String>> peers, TimeSource time) {
        this.self = self;
        this.peers = peers;
        this.time = time;
        this.nextResendNanos = time.nanoTime() + RESEND_INTERVAL.toNanos();
    }

    /**
     * Creates an empty registry.
     *
     * @param self id of this instance
     * @param peers ids of the other live instances
     */
    public static CrashRegistry create(
            String self, Supplier<? extends Collection<String>> peers, TimeSource time) {
        return new CrashRegistry(self, peers, time);
    }

    /** Returns the number of crashes counted for a fingerprint. */
    public int crashCount(byte[] fingerprint) {
        Entry entry = entries.get(ByteString.copyFrom(fingerprint));
        return entry == null || expired(entry) ? 0 : entry.total();
    }

    /** Returns whether requests with this fingerprint are refused. */
    public boolean refuses(byte[] fingerprint) {
        return crashCount(fingerprint) >= REFUSAL_THRESHOLD;
    }

    /** Counts a crash for the requests that were running on an upstream when it crashed. */
    public void recordCrash(Collection<byte[]> fingerprints, Effects out) {
        if (fingerprints.isEmpty()) {
            return;
        }
        List<CrashMark> marks = new ArrayList<>();
        for (byte[] f : fingerprints) {
            ByteString key = ByteString.copyFrom(f);
            Entry entry = refreshEntry(key, time.nanoTime());
            entry.counts.merge(self, 1, Integer::sum);
            marks.add(mark(key, self, entry));
        }
        out.add(new Effect.RecordMetric(CoreMetric.CRASH_MARKS, "", marks.size()));
        broadcast(marks, out);
    }

    /** Clears the marks of a request that has completed. */
    public void recordCompletion(byte[] fingerprint, Effects out) {
        ByteString key = ByteString.copyFrom(fingerprint);
        if (entries.remove(key) != null) {
            broadcast(
                    List.of(CrashMark.newBuilder().setFingerprint(key).setCleared(true).build()),
                    out);
        }
    }

    /** Merges the marks that a peer sent. */
    public void onMessage(Envelope envelope, Effects out) {
        for (CrashMark mark : envelope.getCrashMarks().getMarksList()) {
            if (mark.getCleared()) {
                entries.remove(mark.getFingerprint());
                continue;
            }
            boolean current = mark.getAgeMs() >= 0 && mark.getAgeMs() < RETENTION.toMillis();
            if (!current || mark.getReporter().equals(self)) {
                continue;
            }
            long marked = time.nanoTime() - Duration.ofMillis(mark.getAgeMs()).toNanos();
            refreshEntry(mark.getFingerprint(), marked)
                    .counts
                    .merge(mark.getReporter(), mark.getCrashes(), Math::max);
        }
    }

    /**
     * Removes expired marks and repeats the others, so that instances that started later receive
     * them.
     */
    public void onTick(Effects out) {
        entries.values().removeIf(this::expired);
        if (time.nanoTime() < nextResendNanos) {
            return;
        }
        nextResendNanos = time.nanoTime() + RESEND_INTERVAL.toNanos();
        List<CrashMark> marks = new ArrayList<>();
        entries.forEach(
                (key, entry) -> entry.counts.keySet().forEach(r -> marks.add(mark(key, r, entry))));
        for (int from = 0; from < marks.size(); from += MARKS_PER_MESSAGE) {
            broadcast(marks.subList(from, Math.min(marks.size(), from + MARKS_PER_MESSAGE)), out);
        }
    }

    /** Returns the number of fingerprints with marks. */
    public int size() {
        return entries.size();
    }

    private Entry refreshEntry(ByteString key, long markedNanos) {
        Entry entry = entries.remove(key);
        if (entry == null || expired(entry)) {
            entry = new Entry(markedNanos);
        }
        entry.markedNanos = Math.max(entry.markedNanos, markedNanos);
        entries.put(key, entry);
        Iterator<ByteString> oldest = entries.keySet().iterator();
        while (entries.size() > MAX_FINGERPRINTS) {
            oldest.next();
            oldest.remove();
        }
        return entry;
    }

    private CrashMark mark(ByteString key, String reporter, Entry entry) {
        long age = Duration.ofNanos(time.nanoTime() - entry.markedNanos).toMillis();
        return CrashMark.newBuilder()
                .setFingerprint(key)
                .setReporter(reporter)
                .setCrashes(entry.counts.get(reporter))
                .setAgeMs(Math.max(0, age))
                .build();
    }

    private void broadcast(List<CrashMark> marks, Effects out) {
        for (String peer : peers.get()) {
            Envelope.Builder envelope =
                    Envelope.newBuilder().setCrashMarks(CrashMarks.newBuilder().addAllMarks(marks));
            out.add(new Effect.SendPeer(peer, envelope, false));
        }
    }

    private boolean expired(Entry entry) {
        return time.nanoTime() - entry.markedNanos >= RETENTION.toNanos();
    }

    /** Crash counts by reporter, and the time of the latest crash. */
    private static final class Entry {
        private final Map<String, Integer> counts = new HashMap<>();
        private long markedNanos;

        private Entry(long markedNanos) {
            this.markedNanos = markedNanos;
        }

        private int total() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }
    }
}
