package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.RelayState;

/**
 * Tells the other instances whether this one is isolated from the upstreams, and how long it still
 * serves relayed requests in its planned stop.
 *
 * <p>A change is sent to all others at once, as far as the limit on messages allows; in a large
 * fleet to the isolated ones first. An isolated instance repeats its statement to all, a stopping
 * one to those that are isolated, since only they relay requests.
 */
final class RelayStateExchange {

    /** Shortest interval between the beginnings of two rounds of messages. */
    static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

    /** Messages that may be sent in a second, of less than 100 bytes each. */
    private static final int MAX_MESSAGES_PER_SECOND = 100;

    /** Messages that may be sent at once: one to each other instance in a fleet of usual size. */
    private static final int MAX_BURST = 40;

    /** Times that the end of an isolation is repeated. */
    private static final int END_REPEATS = 2;

    private final Membership membership;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Effects out;
    private final RelayStatements statements;
    private final Supplier<RelayState.Builder> ownState;
    private final Deque<String> receivers = new ArrayDeque<>();
    private long version;
    private int endRepeatsLeft;
    private long nextRoundAt;
    private double allowance = MAX_BURST;
    private long allowanceAt;

    /**
     * @param ownState returns what this instance states now; the default instance if it serves
     *     relayed requests like any other
     */
    RelayStateExchange(
            Membership membership,
            TimeSource time,
            RandomGenerator random,
            Effects out,
            RelayStatements statements,
            Supplier<RelayState.Builder> ownState) {
        this.membership = membership;
        this.time = time;
        this.random = random;
        this.out = out;
        this.statements = statements;
        this.ownState = ownState;
        this.allowanceAt = time.nanoTime();
    }

    /** Tells all others of a change of this instance's state. */
    void onChanged() {
        version++;
        endRepeatsLeft = END_REPEATS;
        beginRound(true);
        sendDue();
    }

    /** Handles the statement of another instance, which needs that of this one if it relays. */
    void onMessage(Envelope envelope) {
        String from = envelope.getFrom();
        boolean newlyIsolated =
                statements.apply(from, envelope.getFromIncarnation(), envelope.getRelayState());
        if (newlyIsolated && isWorthTelling()) {
            receivers.remove(from);
            receivers.addFirst(from);
            sendDue();
        }
    }

    /** Sends what is due. */
    void onTick() {
        if (receivers.isEmpty() && time.nanoTime() - nextRoundAt >= 0) {
            if (isWorthTelling()) {
                beginRound(ownState.get().getIsolated());
            } else if (endRepeatsLeft > 0) {
                endRepeatsLeft--;
                beginRound(true);
            }
        }
        sendDue();
    }

    private boolean isWorthTelling() {
        RelayState.Builder state = ownState.get();
        return state.getIsolated() || state.getStopping();
    }

    /**
     * @param toAll whether all others are told, or only those that are isolated
     */
    private void beginRound(boolean toAll) {
        nextRoundAt = time.nanoTime() + REPEAT_INTERVAL.toNanos();
        List<Peer> others =
                new ArrayList<>(
                        membership.peers().stream()
                                .filter(p -> p.status() != PeerStatus.DEAD)
                                .filter(p -> toAll || isIsolated(p))
                                .toList());
        Collections.shuffle(others, new Random(random.nextLong()));
        String dataCentre = membership.self().dataCentre();
        // A cut often affects a whole data centre.
        others.sort(
                Comparator.comparing((Peer p) -> !isIsolated(p))
                        .thenComparing(p -> !p.ref().dataCentre().equals(dataCentre)));
        receivers.clear();
        others.forEach(p -> receivers.add(p.id()));
    }

    private boolean isIsolated(Peer peer) {
        return statements.of(peer.id()).exists(RelayStatement::isolated);
    }

    private void sendDue() {
        long now = time.nanoTime();
        allowance =
                Math.min(
                        MAX_BURST,
                        allowance + (now - allowanceAt) * (MAX_MESSAGES_PER_SECOND / 1e9));
        allowanceAt = now;
        while (!receivers.isEmpty() && allowance >= 1) {
            allowance--;
            RelayState.Builder state =
                    ownState.get().setVersion(version).setValidMs(validityMillis());
            out.add(
                    new Effect.SendPeer(
                            receivers.poll(), Envelope.newBuilder().setRelayState(state), false));
        }
    }

    /** Returns a time in which the statement is repeated twice, so that one may be lost. */
    private int validityMillis() {
        long round = membership.peers().size() * 1000L / MAX_MESSAGES_PER_SECOND;
        return (int)
                LoadExchange.lifetime(
                                Duration.ofMillis(Math.max(round, REPEAT_INTERVAL.toMillis())))
                        .toMillis();
    }
}
