package org.bronzehill.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.PartCrash;
import org.bronzehill.protocol.generated.PartCrashes;
import org.jboss.logging.Logger;

/**
 * Finds the parts of prompts that crash each engine which begins to answer under them. Requests
 * that share nothing but such a part never repeat, so {@link CrashRegistry} does not find them.
 *
 * <p>A crash ends all requests on an engine, most of which are sound. Only requests whose answer
 * had not begun can have caused it, and of their parts only those under which no answer has begun
 * elsewhere: an answer that begins proves all parts of its request sound. A part that remains is
 * suspected. After crashes of {@link #BLOCKING_CRASHES} engines it is blocked, at all instances,
 * since they tell each other of suspicions and proofs. One instance lets a request with a blocked
 * part through from time to time, at growing intervals, so that a sound part is not blocked for
 * good.
 */
public final class CrashingParts {

    private static final Logger LOG = Logger.getLogger(CrashingParts.class);

    /** Number of crashed engines at which a part is blocked. */
    static final int BLOCKING_CRASHES = 2;

    /**
     * Time from the crash that blocks a part until it is blocked: a round trip to the instances
     * that may have seen an answer under it. When many engines crash at once, a sound part can have
     * several crashes for that long.
     */
    static final Duration OBJECTION_TIME = Duration.ofMillis(100);

    /** Time from the crash that blocks a part to the first request that is let through. */
    static final Duration FIRST_TRIAL_DELAY = Duration.ofSeconds(4);

    /** Time after which a part is no longer suspected if no further crash is counted. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** Interval at which suspicions are repeated, for instances that started or lost a message. */
    static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

    /** Number of instances to which suspicions are repeated at a time. */
    private static final int REPEAT_FANOUT = 8;

    private static final int MAX_SUSPECTS = 1024;
    private static final int MAX_PROVEN = 8192;

    /** Largest number of counted crashes for each part; the delays of trials grow no further. */
    private static final int MAX_CRASHES = 9;

    /** Number of crashes, of 20 bytes each, that fit into a packet. */
    private static final int CRASHES_PER_MESSAGE = 50;

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Map<Long, Suspect> suspects = boundedMap(MAX_SUSPECTS);
    private final Map<Long, Proof> proofs = boundedMap(MAX_PROVEN);
    private long nextRepeatAt;

    /** Part that may crash engines. */
    private static final class Suspect {
        /** Monotonic times of crashes, by crash. */
        private final Map<Long, Long> crashes = new LinkedHashMap<>();

        private long lastCrashAt;
        private long blockedFrom;
        private long nextTrialAt;

        private boolean isBlocked(long now) {
            return crashes.size() >= BLOCKING_CRASHES
                    && now - blockedFrom >= OBJECTION_TIME.toNanos();
        }

        private void add(long crash, long at, long now) {
            if (crashes.size() >= MAX_CRASHES || crashes.putIfAbsent(crash, at) != null) {
                return;
            }
            if (crashes.size() == BLOCKING_CRASHES) {
                blockedFrom = now;
            }
            lastCrashAt = crashes.size() == 1 || at - lastCrashAt > 0 ? at : lastCrashAt;
            nextTrialAt = lastCrashAt + trialDelay().toNanos();
        }

        private Duration trialDelay() {
            int doublings = Math.max(0, crashes.size() - BLOCKING_CRASHES);
            return FIRST_TRIAL_DELAY.multipliedBy(1L << doublings);
        }
    }

    /** Proof that a part is sound, and the first crash since that contradicts it. */
    private static final class Proof {
        private boolean contradicted;
        private long contradictedAt;
    }

    private CrashingParts(Membership membership, TimeSource time, RandomGenerator random) {
        this.membership = membership;
        this.time = time;
        this.random = random;
        this.nextRepeatAt = time.nanoTime() + REPEAT_INTERVAL.toNanos();
    }

    private static <V> Map<Long, V> boundedMap(int maxSize) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    /** Creates an object that suspects no part. */
    public static CrashingParts create(
            Membership membership, TimeSource time, RandomGenerator random) {
        return new CrashingParts(membership, time, random);
    }

    /** Returns whether a request with these parts must not be sent. */
    public boolean blocks(Collection<Long> parts) {
        return parts.stream().anyMatch(this::isBlocked);
    }

    private boolean isBlocked(Long part) {
        Suspect suspect = suspects.get(part);
        return suspect != null && suspect.isBlocked(time.nanoTime());
    }

    /**
     * Returns whether a request has blocked parts but may be sent nevertheless, to find out whether
     * they still crash engines, and counts it as sent.
     */
    public boolean tryTakeTrial(Collection<Long> parts) {
        long now = time.nanoTime();
        List<Long> blocked = parts.stream().filter(this::isBlocked).toList();
        for (Long part : blocked) {
            if (now - suspects.get(part).nextTrialAt < 0 || !isResponsibleFor(part)) {
                return false;
            }
        }
        for (Long part : blocked) {
            Suspect suspect = suspects.get(part);
            suspect.nextTrialAt = now + suspect.trialDelay().toNanos();
            LOG.infof("event=part-trial part=%016x crashes=%d", part, suspect.crashes.size());
        }
        return !blocked.isEmpty();
    }

    /** Returns whether this instance is the one of all live ones that lets trials through. */
    private boolean isResponsibleFor(Long part) {
        return RendezvousHash.rank(part.toString(), membership.live(), InstanceRef::id)
                .get(0)
                .id()
                .equals(membership.self().id());
    }

    /** Returns whether a lost request with these parts can have crashed its engine. */
    public boolean maySuspect(Collection<Long> parts, long sentAt) {
        return parts.stream().anyMatch(p -> !isProven(p, sentAt));
    }

    /**
     * Returns whether the part is known to be sound. One crash does not refute this: a request may
     * be the first in the queue of an engine that crashes for another reason. A second one does if
     * its request was sent after the first and no answer has begun in between.
     */
    private boolean isProven(Long part, long sentAt) {
        Proof proof = proofs.get(part);
        return proof != null && !(proof.contradicted && sentAt - proof.contradictedAt > 0);
    }

    /** Records that an answer has begun, which clears the parts of its request. */
    public void onAnswerBegun(Collection<Long> parts, Effects out) {
        List<Long> cleared = new ArrayList<>();
        for (Long part : parts) {
            Proof proof = proofs.computeIfAbsent(part, p -> new Proof());
            proof.contradicted = false;
            if (clear(part)) {
                cleared.add(part);
            }
        }
        if (!cleared.isEmpty()) {
            sendToAll(PartCrashes.newBuilder().addAllCleared(cleared), out);
        }
    }

    private boolean clear(Long part) {
        Suspect suspect = suspects.remove(part);
        if (suspect != null) {
            LOG.infof("event=part-cleared part=%016x crashes=%d", part, suspect.crashes.size());
        }
        return suspect != null;
    }

    /**
     * Records a crash of an engine to which a request had been sent whose answer had not begun.
     *
     * @param crash identifies the crashed incarnation of the engine
     * @param sentAt monotonic time at which the request was sent
     */
    public void onCrash(long crash, Collection<Long> parts, long sentAt, Effects out) {
        long now = time.nanoTime();
        PartCrashes.Builder message = PartCrashes.newBuilder();
        for (Long part : parts) {
            if (isProven(part, sentAt)) {
                Proof proof = proofs.get(part);
                proof.contradictedAt = proof.contradicted ? proof.contradictedAt : now;
                proof.contradicted = true;
            } else {
                proofs.remove(part);
                suspect(part, crash, now);
                message.addCrashes(message(part, crash, now));
            }
        }
        if (message.getCrashesCount() > 0) {
            sendToAll(message, out);
        }
    }

    private void suspect(Long part, long crash, long at) {
        Suspect suspect = suspects.computeIfAbsent(part, p -> new Suspect());
        int before = suspect.crashes.size();
        suspect.add(crash, at, time.nanoTime());
        if (suspect.crashes.size() > before) {
            LOG.infof("event=part-suspected part=%016x crashes=%d", part, suspect.crashes.size());
        }
    }

    private PartCrash message(long part, long crash, long at) {
        long age = Duration.ofNanos(Math.max(0, time.nanoTime() - at)).toMillis();
        return PartCrash.newBuilder().setPart(part).setCrash(crash).setAgeMs((int) age).build();
    }

    /** Applies the suspicions and proofs of another instance. */
    public void onMessage(String from, PartCrashes message, Effects out) {
        for (Long part : message.getClearedList()) {
            clear(part);
            proofs.computeIfAbsent(part, p -> new Proof()).contradicted = false;
        }
        Set<Long> refuted = new LinkedHashSet<>();
        long now = time.nanoTime();
        for (PartCrash crash : message.getCrashesList()) {
            long age = Duration.ofMillis(Integer.toUnsignedLong(crash.getAgeMs())).toNanos();
            Proof proof = proofs.get(crash.getPart());
            if (age >= RETENTION.toNanos()) {
                continue;
            }
            if (proof != null && !proof.contradicted) {
                refuted.add(crash.getPart());
            } else {
                suspect(crash.getPart(), crash.getCrash(), now - age);
            }
        }
        if (!refuted.isEmpty()) {
            send(from, PartCrashes.newBuilder().addAllCleared(refuted), out);
        }
    }

    /** Drops expired suspicions and repeats the others. */
    public void onTick(Effects out) {
        long now = time.nanoTime();
        if (now - nextRepeatAt < 0) {
            return;
        }
        nextRepeatAt = now + REPEAT_INTERVAL.toNanos();
        suspects.values().removeIf(s -> now - s.lastCrashAt >= RETENTION.toNanos());
        if (suspects.isEmpty()) {
            return;
        }
        List<PartCrash> all = new ArrayList<>();
        suspects.forEach(
                (p, s) -> s.crashes.forEach((crash, at) -> all.add(message(p, crash, at))));
        // Repeats a random selection if there are more than fit into a message.
        Collections.shuffle(all, new java.util.Random(random.nextLong()));
        PartCrashes.Builder message =
                PartCrashes.newBuilder()
                        .addAllCrashes(all.subList(0, Math.min(all.size(), CRASHES_PER_MESSAGE)));
        List<InstanceRef> others = others();
        Collections.shuffle(others, new java.util.Random(random.nextLong()));
        others.stream().limit(REPEAT_FANOUT).forEach(i -> send(i.id(), message, out));
    }

    private List<InstanceRef> others() {
        List<InstanceRef> others = new ArrayList<>(membership.live());
        others.removeIf(i -> i.id().equals(membership.self().id()));
        return others;
    }

    private void sendToAll(PartCrashes.Builder message, Effects out) {
        others().forEach(i -> send(i.id(), message, out));
    }

    private static void send(String instance, PartCrashes.Builder message, Effects out) {
        out.add(
                new Effect.SendPeer(
                        instance, Envelope.newBuilder().setPartCrashes(message), false));
    }
}
