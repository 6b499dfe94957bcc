package org.bronzehill.core.spread;

import java.util.HashSet;
import java.util.Set;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ConfigurationPull;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Checks, after a start or a pause, that no reachable peer has a configuration with a higher number
 * than this instance.
 */
final class CatchUpCheck {

    private static final long ANSWER_TIMEOUT_NANOS = 2_000_000_000L;

    private final Membership membership;
    private final TimeSource time;
    private final Set<String> unanswered = new HashSet<>();
    private boolean numbersRequested;

    /** Whether the configuration service, or a peer that has a configuration, has answered. */
    private boolean configurationSourceAnswered;

    private boolean done;
    private long requestedNanos;
    private long highestNumber;

    CatchUpCheck(Membership membership, TimeSource time) {
        this.membership = membership;
        this.time = time;
    }

    void restart() {
        numbersRequested = false;
        configurationSourceAnswered = false;
        done = false;
        unanswered.clear();
    }

    /**
     * Requests the configuration number of every peer that is not dead, once the instance list has
     * been read.
     */
    void onTick(long currentNumber, Effects out) {
        if (!numbersRequested && membership.list().version() > 0) {
            numbersRequested = true;
            requestedNanos = time.nanoTime();
            for (Peer p : membership.peers()) {
                if (p.status() != PeerStatus.DEAD) {
                    unanswered.add(p.id());
                    ConfigurationPull.Builder pull =
                            ConfigurationPull.newBuilder()
                                    .setHaveNumber(currentNumber)
                                    .setNumberOnly(true);
                    Envelope.Builder body = Envelope.newBuilder().setConfigurationPull(pull);
                    out.add(new Effect.SendPeer(p.id(), body, false));
                }
            }
        }
    }

    /** Records the answer of a peer to the request for its configuration number. */
    void onPeerAnswer(String peer, long number) {
        if (numbersRequested && unanswered.remove(peer)) {
            configurationSourceAnswered |= number > 0;
            highestNumber = Math.max(highestNumber, number);
        }
    }

    void observeNumber(long number) {
        highestNumber = Math.max(highestNumber, number);
    }

    void onServiceRead() {
        configurationSourceAnswered = true;
    }

    boolean isDone(long number) {
        if (!done) {
            done =
                    numbersRequested
                            && configurationSourceAnswered
                            && number > 0
                            && number >= highestNumber
                            && (unanswered.isEmpty()
                                    || time.nanoTime() - requestedNanos >= ANSWER_TIMEOUT_NANOS);
        }
        return done;
    }
}
