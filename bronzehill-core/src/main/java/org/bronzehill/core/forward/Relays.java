package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.RelayState;

/**
 * Relaying of requests between instances: whether this one is isolated from the upstreams, which
 * others serve its requests, and what it tells them about the requests that it serves for them.
 */
public final class Relays {

    private final TimeSource time;
    private final RetryDelay retryDelay;
    private final Reachability reachability;
    private final RelayStatements statements;
    private final RelayStateExchange exchange;
    private final RelayPeers peers;
    private final RelayedConfiguration configuration;
    private final PeerConfigurations peerConfigurations;
    private PlannedStop stop = PlannedStop.NONE;
    private boolean withdrawn;

    /**
     * @param ownVersion returns the version of the configuration in force; 0 if none has been read
     */
    Relays(
            ForwardSettings settings,
            ForwardPorts ports,
            RandomGenerator random,
            LongSupplier ownVersion) {
        this.time = ports.time();
        this.retryDelay = new RetryDelay(time, random);
        this.statements = new RelayStatements(ports.membership(), time);
        this.exchange =
                new RelayStateExchange(
                        ports.membership(), time, random, ports.out(), statements, this::ownState);
        this.reachability =
                new Reachability(
                        time,
                        new Random(settings.instance().hashCode()),
                        ports.orders(),
                        exchange::onChanged);
        this.configuration = new RelayedConfiguration(time);
        this.peerConfigurations = new PeerConfigurations(ports.membership());
        this.peers =
                new RelayPeers(
                        ports.membership(),
                        time,
                        random,
                        statements,
                        p ->
                                peerConfigurations.has(
                                        p,
                                        Math.max(ownVersion.getAsLong(), configuration.newest())));
    }

    private RelayState.Builder ownState() {
        RelayState.Builder state = RelayState.newBuilder().setIsolated(reachability.isIsolated());
        if (stop != PlannedStop.NONE) {
            state.setStopping(true).setEndsMs(millisUntil(stop.endNanos()));
            if (!withdrawn) {
                state.setAcceptsAnyMs(millisUntil(stop.lastArrivalNanos()))
                        .setAcceptsMs(millisUntil(stop.lastSendNanos()));
            }
        }
        return state;
    }

    private int millisUntil(long nanos) {
        return (int) Math.max(0, (nanos - time.nanoTime()) / 1_000_000);
    }

    Reachability reachability() {
        return reachability;
    }

    PeerConfigurations peerConfigurations() {
        return peerConfigurations;
    }

    RelayPeers peers() {
        return peers;
    }

    /**
     * Returns the newest version of the configuration by which other instances have lately served
     * requests that this one relayed; 0 if there was none.
     */
    long newestConfiguration() {
        return configuration.newest();
    }

    /** Returns the oldest version by which other instances may serve requests; 0 if any may. */
    public long requiredConfiguration() {
        return configuration.required();
    }

    /** Records the version of the configuration by which a relayed request was served. */
    void onConfigurationUsed(long version) {
        configuration.onUsed(version);
    }

    void onMessage(Envelope envelope) {
        String from = envelope.getFrom();
        exchange.onMessage(envelope);
        if (statements.of(from).exists(s -> !s.isolated() && !s.stopping())) {
            peers.onServesAgain(from);
        }
    }

    void onTick(Collection<UpstreamState> upstreams) {
        reachability.onTick(upstreams);
        statements.onTick();
        peerConfigurations.onTick();
        exchange.onTick();
    }

    /** Tells the other instances for how long this one serves relayed requests in its stop. */
    void onStop(PlannedStop planned) {
        stop = planned;
        exchange.onChanged();
    }

    /**
     * Returns the delay after which the caller of a request that no instance can serve should
     * retry; empty if no time is left for it.
     */
    Option<Duration> retryAfter(ForwardRequest request) {
        Duration isolatedFor = reachability.isolatedFor();
        Duration assumed =
                isolatedFor.compareTo(Reachability.PROBE_INTERVAL) > 0
                        ? isolatedFor
                        : Reachability.PROBE_INTERVAL;
        return retryDelay.after(request, peers.untilServed(assumed));
    }

    /**
     * Returns the delay after which the caller of a request should retry that other instances have
     * no place for; empty if no time is left for it.
     *
     * @param expected shortest delay that these instances have stated
     */
    Option<Duration> retryAfter(ForwardRequest request, Duration expected) {
        return retryDelay.after(request, expected);
    }

    /** Returns whether requests that arrive now may be served in the planned stop. */
    public boolean isAccepting() {
        return !withdrawn
                && (stop == PlannedStop.NONE || time.nanoTime() - stop.lastSendNanos() < 0);
    }

    /**
     * Tells the other instances, late in a planned stop, that this one accepts no more relayed
     * requests. Those that are on their way should still be accepted.
     */
    public void withdraw() {
        if (!withdrawn) {
            withdrawn = true;
            exchange.onChanged();
        }
    }

    /** Returns the number of other instances that are isolated, so that they may relay requests. */
    public int isolatedOthers() {
        return statements.isolated();
    }

    /** Returns whether this instance is isolated from the upstreams. */
    public boolean isIsolated() {
        return reachability.isIsolated();
    }
}
