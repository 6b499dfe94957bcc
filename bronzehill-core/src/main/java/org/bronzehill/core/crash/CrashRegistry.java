package org.bronzehill.core.crash;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.CrashMark;
import org.bronzehill.protocol.generated.CrashMarks;
import org.bronzehill.protocol.generated.Envelope;
import org.jboss.logging.Logger;

/**
 * Counts, by request fingerprint, the crashes of upstreams that were running the request. Each
 * instance counts the crashes that it observes and sends its counts to its peers; the counts of all
 * sources are added. Several lost runs count as one crash if their upstream is known.
 *
 * <p>A crash ends all requests on an upstream, most of which are sound. A completed run proves its
 * request sound: it clears the marks of earlier crashes at all instances, and an instance that
 * knows of one objects to marks that others send. One instance lets a refused request through from
 * time to time, at growing intervals, since one that is refused cannot complete.
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

    private static final Logger LOG = Logger.getLogger(CrashRegistry.class);
    private static final Duration RESEND_INTERVAL = Duration.ofSeconds(5);
    private static final int MARKS_PER_MESSAGE = 256;

    private final String self;
    private final Supplier<? extends Collection<String>> peers;
    private final TimeSource time;
    private final Map<ByteString, CrashMarkEntry> entries = new LinkedHashMap<>();
    private final RecentCompletions completions = new RecentCompletions();
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
        CrashMarkEntry entry = entries.get(ByteString.copyFrom(fingerprint));
        return entry == null || expired(entry) ? 0 : entry.crashes();
    }

    /** Returns whether requests with this fingerprint are refused. */
    public boolean refuses(byte[] fingerprint) {
        return crashCount(fingerprint) >= REFUSAL_THRESHOLD;
    }

    /**
     * Returns whether a refused request may be sent now nevertheless, to find out whether it still
     * crashes upstreams.
     */
    public boolean isTrialDue(byte[] fingerprint) {
        CrashMarkEntry entry = entries.get(ByteString.copyFrom(fingerprint));
        return entry != null
                && entry.isTrialDue(REFUSAL_THRESHOLD, time.nanoTime())
                && isResponsibleFor(fingerprint);
    }

    /** Records that a refused request is sent as a trial. */
    public void onTrial(byte[] fingerprint) {
        ByteString key = ByteString.copyFrom(fingerprint);
        CrashMarkEntry entry = entries.get(key);
        entry.onTrial(time.nanoTime());
        LOG.infof("event=request-trial fingerprint=%s crashes=%d", hex(key), entry.crashes());
    }

    /** Returns whether this instance is the one of all live ones that lets trials through. */
    private boolean isResponsibleFor(byte[] fingerprint) {
        List<String> live = new ArrayList<>(peers.get());
        live.add(self);
        String key = HexFormat.of().formatHex(fingerprint);
        return RendezvousHash.rank(key, live, Function.identity()).get(0).equals(self);
    }

    /**
     * Counts a crash, now, for the requests that were running on an upstream when it crashed. Each
     * call is another crash.
     */
    public void recordCrash(Collection<byte[]> fingerprints, Effects out) {
        Map<ByteString, Long> lost = new LinkedHashMap<>();
        fingerprints.forEach(f -> lost.put(ByteString.copyFrom(f), time.nanoTime()));
        recordCrash(self, lost, true, out);
    }

    /**
     * Counts a crash for requests that were running on an upstream when it crashed.
     *
     * @param crash identifies the crash, so that it counts once for all instances and runs
     * @param lost monotonic times at which runs were lost, by fingerprint
     */
    public void recordCrash(String crash, Map<ByteString, Long> lost, Effects out) {
        recordCrash(crash, lost, false, out);
    }

    private void recordCrash(String source, Map<ByteString, Long> lost, boolean adds, Effects out) {
        List<CrashMark> marks = new ArrayList<>();
        lost.forEach(
                (key, at) -> {
                    if (!completions.refutes(key, at)) {
                        CrashMarkEntry entry = refreshEntry(key);
                        int crashes = adds ? entry.crashesOf(source) + 1 : 1;
                        merge(key, entry, source, crashes, at);
                        marks.add(mark(key, source, entry));
                    }
                });
        if (!marks.isEmpty()) {
            out.add(new Effect.RecordMetric(CoreMetric.CRASH_MARKS, "", marks.size()));
            broadcast(marks, out);
        }
    }

    private static void merge(
            ByteString key, CrashMarkEntry entry, String source, int crashes, long at) {
        boolean refusedBefore = entry.crashes() >= REFUSAL_THRESHOLD;
        entry.merge(source, crashes, at);
        if (!refusedBefore && entry.crashes() >= REFUSAL_THRESHOLD) {
            LOG.infof("event=request-refused fingerprint=%s crashes=%d", hex(key), entry.crashes());
        }
    }

    /** Clears the marks of a request that has completed. */
    public void recordCompletion(byte[] fingerprint, Effects out) {
        ByteString key = ByteString.copyFrom(fingerprint);
        if (onCompletion(key, time.nanoTime())) {
            broadcast(List.of(cleared(key)), out);
        }
    }

    /** Records a completion; returns whether marks were cleared. */
    private boolean onCompletion(ByteString key, long completedNanos) {
        completions.record(key, completedNanos);
        CrashMarkEntry entry = entries.get(key);
        int before = entry == null ? 0 : entry.crashes();
        boolean changed =
                entry != null && entry.removeBefore(RecentCompletions.lastRefuted(completedNanos));
        if (changed && entry.isEmpty()) {
            entries.remove(key);
        }
        if (changed && before >= REFUSAL_THRESHOLD) {
            LOG.infof("event=request-cleared fingerprint=%s crashes=%d", hex(key), before);
        }
        return changed;
    }

    private CrashMark cleared(ByteString key) {
        return CrashMark.newBuilder()
                .setFingerprint(key)
                .setCleared(true)
                .setAgeMs(ageMs(completions.lastCompletion(key)))
                .build();
    }

    /** Merges the marks that a peer sent, and objects to those of requests that completed. */
    public void onMessage(Envelope envelope, Effects out) {
        List<CrashMark> objections = new ArrayList<>();
        for (CrashMark mark : envelope.getCrashMarks().getMarksList()) {
            boolean current = mark.getAgeMs() >= 0 && mark.getAgeMs() < RETENTION.toMillis();
            if (!current) {
                continue;
            }
            long at = time.nanoTime() - Duration.ofMillis(mark.getAgeMs()).toNanos();
            ByteString key = mark.getFingerprint();
            if (mark.getCleared()) {
                onCompletion(key, at);
            } else if (completions.refutes(key, at)) {
                objections.add(cleared(key));
            } else if (!mark.getReporter().equals(self)) {
                merge(key, refreshEntry(key), mark.getReporter(), mark.getCrashes(), at);
            }
        }
        if (!objections.isEmpty()) {
            send(envelope.getFrom(), objections, out);
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
                (key, entry) -> entry.sources().forEach(r -> marks.add(mark(key, r, entry))));
        for (int from = 0; from < marks.size(); from += MARKS_PER_MESSAGE) {
            broadcast(marks.subList(from, Math.min(marks.size(), from + MARKS_PER_MESSAGE)), out);
        }
    }

    /** Returns the number of fingerprints with marks. */
    public int size() {
        return entries.size();
    }

    /** Returns the entry of a fingerprint as the one that was marked last. */
    private CrashMarkEntry refreshEntry(ByteString key) {
        CrashMarkEntry entry = entries.remove(key);
        if (entry == null || expired(entry)) {
            entry = new CrashMarkEntry();
        }
        entries.put(key, entry);
        Iterator<ByteString> oldest = entries.keySet().iterator();
        while (entries.size() > MAX_FINGERPRINTS) {
            oldest.next();
            oldest.remove();
        }
        return entry;
    }

    private CrashMark mark(ByteString key, String source, CrashMarkEntry entry) {
        return CrashMark.newBuilder()
                .setFingerprint(key)
                .setReporter(source)
                .setCrashes(entry.crashesOf(source))
                .setAgeMs(ageMs(entry.markedAt(source)))
                .build();
    }

    private long ageMs(long nanos) {
        return Math.max(0, Duration.ofNanos(time.nanoTime() - nanos).toMillis());
    }

    private void broadcast(List<CrashMark> marks, Effects out) {
        peers.get().forEach(peer -> send(peer, marks, out));
    }

    private static void send(String peer, List<CrashMark> marks, Effects out) {
        Envelope.Builder envelope =
                Envelope.newBuilder().setCrashMarks(CrashMarks.newBuilder().addAllMarks(marks));
        out.add(new Effect.SendPeer(peer, envelope, false));
    }

    private boolean expired(CrashMarkEntry entry) {
        long now = time.nanoTime();
        return !entry.isEmpty() && now - entry.lastCrashAt(now) >= RETENTION.toNanos();
    }

    private static String hex(ByteString fingerprint) {
        return HexFormat.of().formatHex(fingerprint.toByteArray());
    }
}
