package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.time.TimeSource;

/**
 * Selects the instances to which an isolated instance relays the requests of its callers. Which
 * other instances serve them is known from their statements. Where one is missing, because it was
 * lost or the other instance makes none, it is learned from answers.
 */
final class RelayPeers {

    /** Time for which an instance that has refused a request, or cannot be reached, is left out. */
    private static final Duration EXCLUSION_TIME = Duration.ofSeconds(2);

    /** Time in which another instance gets to know this one, which has just started. */
    private static final Duration INTRODUCTION_TIME = Duration.ofMillis(300);

    /** Time for which an instance that has served a request is preferred. */
    private static final Duration PREFERENCE_TIME = Duration.ofSeconds(5);

    /** Number of preferred instances below which others are tried, so that the load is spread. */
    private static final int MIN_PREFERRED = 3;

    /** Time that a statement and a request may take between two instances, together. */
    private static final Duration TRANSFER_TIME = Duration.ofMillis(100);

    /** Difference between the ends of planned stops up to which the load is spread over both. */
    private static final Duration SIMILAR_END = Duration.ofSeconds(1);

    /** Time in which a stopped instance is replaced by a new one. */
    private static final Duration RESTART_TIME = Duration.ofSeconds(1);

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private final RelayStatements statements;
    private final Predicate<Peer> hasConfiguration;
    private final Map<InstanceRef, Long> excludedUntil = new HashMap<>();
    private final Map<InstanceRef, Long> avoidedUntil = new HashMap<>();
    private final Map<InstanceRef, Long> preferredUntil = new HashMap<>();

    /** What another instance can do for an isolated one. */
    enum Role {
        /** Serves requests, as far as is known. */
        SERVING,
        /** Is in its planned stop. */
        STOPPING,
        /** Reaches no upstream itself. */
        ISOLATED,
        /** Has not answered probes lately: it, or this instance, may have been held up. */
        SUSPECTED,
        /** Has ended. */
        DOWN
    }

    /**
     * @param hasConfiguration whether an instance is known to have the configuration by which
     *     callers of this one must be served
     */
    RelayPeers(
            Membership membership,
            TimeSource time,
            RandomGenerator random,
            RelayStatements statements,
            Predicate<Peer> hasConfiguration) {
        this.membership = membership;
        this.time = time;
        this.random = random;
        this.statements = statements;
        this.hasConfiguration = hasConfiguration;
    }

    private Role roleOf(Peer peer) {
        if (peer.status() == PeerStatus.DEAD) {
            return Role.DOWN;
        }
        Option<RelayStatement> statement = statements.of(peer.id());
        if (statement.exists(RelayStatement::isolated)) {
            return Role.ISOLATED;
        }
        if (peer.status() == PeerStatus.SUSPECT) {
            // One that was stopping has probably ended.
            return statement.exists(RelayStatement::stopping) ? Role.DOWN : Role.SUSPECTED;
        }
        return peer.status() == PeerStatus.LEAVING || statement.exists(RelayStatement::stopping)
                ? Role.STOPPING
                : Role.SERVING;
    }

    private List<Peer> peers(Role role) {
        return membership.peers().stream().filter(p -> roleOf(p) == role).toList();
    }

    /**
     * Returns whether there are other instances that have not ended. Suspected ones do not count,
     * since they may be tried in vain.
     */
    boolean exist() {
        return membership.peers().stream()
                .map(this::roleOf)
                .anyMatch(r -> r != Role.DOWN && r != Role.SUSPECTED);
    }

    /**
     * Returns the next instance to be tried; empty if there is none. Those that are not known to
     * have the configuration come after the others, since they may refuse. Of those that serve, the
     * ones that have broken off an answer are tried last; then come instances in their planned
     * stop, and in the end suspected ones.
     *
     * @param deadlineNanos deadline of the request
     */
    Option<InstanceRef> next(Set<String> tried, long deadlineNanos) {
        long now = time.nanoTime();
        excludedUntil.values().removeIf(until -> now - until >= 0);
        avoidedUntil.values().removeIf(until -> now - until >= 0);
        preferredUntil.values().removeIf(until -> now - until >= 0);
        Predicate<Peer> mayBeTried =
                p -> !tried.contains(p.id()) && !excludedUntil.containsKey(p.ref());
        return nextReachable(mayBeTried.and(hasConfiguration), deadlineNanos)
                .orElse(() -> nextReachable(mayBeTried, deadlineNanos))
                .orElse(() -> anyOf(peers(Role.SUSPECTED).stream().filter(mayBeTried).toList()));
    }

    private Option<InstanceRef> nextReachable(Predicate<Peer> mayBeTried, long deadlineNanos) {
        List<Peer> serving = peers(Role.SERVING).stream().filter(mayBeTried).toList();
        List<Peer> sound =
                serving.stream().filter(p -> !avoidedUntil.containsKey(p.ref())).toList();
        List<Peer> candidates = sound.isEmpty() ? serving : sound;
        List<Peer> preferred =
                candidates.stream().filter(p -> preferredUntil.containsKey(p.ref())).toList();
        List<Peer> from = preferred.size() >= MIN_PREFERRED ? preferred : candidates;
        return anyOf(from).orElse(() -> nextStopping(mayBeTried, deadlineNanos));
    }

    private Option<InstanceRef> anyOf(List<Peer> from) {
        return from.isEmpty()
                ? Option.none()
                : Option.of(from.get(random.nextInt(from.size())).ref());
    }

    /**
     * Returns one of the stopping instances that accept the request: one that outlasts its
     * deadline, or else one of those that stop last.
     */
    private Option<InstanceRef> nextStopping(Predicate<Peer> mayBeTried, long deadlineNanos) {
        long arrival = time.nanoTime() + TRANSFER_TIME.toNanos();
        long deadlineThere = deadlineNanos + TRANSFER_TIME.toNanos();
        Map<InstanceRef, Long> timeLeft = new HashMap<>();
        for (Peer p : peers(Role.STOPPING)) {
            statements
                    .of(p.id())
                    .filter(s -> mayBeTried.test(p) && s.accepts(deadlineThere, arrival))
                    .forEach(s -> timeLeft.put(p.ref(), s.endsAt() - arrival));
        }
        long longest = timeLeft.values().stream().mapToLong(t -> t).max().orElse(0);
        long enough = Math.min(deadlineThere - arrival, longest - SIMILAR_END.toNanos());
        List<InstanceRef> from =
                timeLeft.keySet().stream()
                        .filter(i -> timeLeft.get(i) >= enough)
                        .sorted(Comparator.comparing(InstanceRef::id))
                        .toList();
        return from.isEmpty() ? Option.none() : Option.of(from.get(random.nextInt(from.size())));
    }

    /** Records that an instance has answered a request with the answer of an upstream. */
    void onServed(InstanceRef instance) {
        preferredUntil.put(instance, time.nanoTime() + PREFERENCE_TIME.toNanos());
    }

    /**
     * Records that an instance has broken off an answer: it has failed, or the upstream that
     * answered.
     */
    void onBrokenOff(InstanceRef instance) {
        preferredUntil.remove(instance);
        avoidedUntil.put(instance, time.nanoTime() + EXCLUSION_TIME.toNanos());
    }

    /** Records that an instance has refused a request, or cannot be reached. */
    void onNotServed(InstanceRef instance) {
        exclude(instance, EXCLUSION_TIME);
    }

    /** Records that an instance does not know this one yet. */
    void onUnknownTo(InstanceRef instance) {
        exclude(instance, INTRODUCTION_TIME);
    }

    private void exclude(InstanceRef instance, Duration period) {
        preferredUntil.remove(instance);
        excludedUntil.put(instance, time.nanoTime() + period.toNanos());
    }

    /** Records that an instance has stated that it serves requests again. */
    void onServesAgain(String instance) {
        excludedUntil.keySet().removeIf(i -> i.id().equals(instance));
    }

    private boolean isExcluded(Peer peer) {
        Long until = excludedUntil.get(peer.ref());
        return until != null && time.nanoTime() - until < 0;
    }

    /** Returns the numbers of other instances, for the log. */
    RelayPeerCounts counts() {
        List<Peer> serving = peers(Role.SERVING);
        int isolated = peers(Role.ISOLATED).size();
        int stopping = peers(Role.STOPPING).size();
        int excluded = (int) serving.stream().filter(this::isExcluded).count();
        int suspected = peers(Role.SUSPECTED).size();
        return new RelayPeerCounts(
                serving.size() - excluded, isolated, stopping, excluded, suspected);
    }

    /**
     * Returns the time after which an instance may serve requests again: none if another one does
     * now, since a caller that comes back reaches others than this one.
     *
     * @param isolatedFor time for which this instance has been isolated; how long it will last is
     *     not known, so it is assumed to last as long again
     */
    Duration untilServed(Duration isolatedFor) {
        long now = time.nanoTime();
        long shortest = isolatedFor.toNanos();
        for (Peer p : peers(Role.SERVING)) {
            shortest = Math.min(shortest, isExcluded(p) ? excludedUntil.get(p.ref()) - now : 0);
        }
        for (Peer p : peers(Role.STOPPING)) {
            Option<RelayStatement> stop = statements.of(p.id());
            if (stop.isDefined()) {
                shortest = Math.min(shortest, stop.get().endsAt() - now + RESTART_TIME.toNanos());
            }
        }
        return Duration.ofNanos(Math.max(0, shortest));
    }
}
