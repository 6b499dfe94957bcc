package org.bronzehill.core.spread;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ConfigurationPull;
import org.bronzehill.protocol.generated.ConfigurationPush;
import org.bronzehill.protocol.generated.Envelope;
import org.jboss.logging.Logger;

/**
 * Propagates the configuration with the highest number to every instance. The instance pulls
 * changed shards from a peer with a higher number, and sends its own number to a peer with a lower
 * one.
 */
public final class ConfigurationPropagator {

    private static final Logger LOG = Logger.getLogger(ConfigurationPropagator.class);

    /**
     * Number of random peers that are notified of a new number at once. With four, the notices
     * reach 98 of 100 instances within a few hops; membership probes carry the number to the
     * others.
     */
    private static final int FANOUT = 4;

    private static final long NUMBER_REPEAT_NANOS = 500_000_000L;
    private static final long AGE_REPORT_INTERVAL_NANOS = 1_000_000_000L;
    private static final int MAX_NOTIFIED_PEERS = 1024;

    private final Membership membership;
    private final ConfigurationStore store;
    private final TimeSource time;
    private final RandomGenerator random;
    private final ServiceReader reader;
    private final CatchUpCheck catchUpCheck;
    private final PullState pull;
    private final Map<String, Long> notifiedAt = new LinkedHashMap<>();
    private long serviceConfirmedNanos;
    private long ageReportedNanos;

    private ConfigurationPropagator(
            Membership membership,
            ConfigurationStore store,
            TimeSource time,
            RandomGenerator random) {
        this.membership = membership;
        this.store = store;
        this.time = time;
        this.random = random;
        this.reader = new ServiceReader(membership, time, random);
        this.catchUpCheck = new CatchUpCheck(membership, time);
        this.pull = new PullState(store);
        this.serviceConfirmedNanos = time.nanoTime();
        this.ageReportedNanos = serviceConfirmedNanos;
    }

    /** Creates the component for an instance that has just started. */
    public static ConfigurationPropagator create(
            Membership membership,
            ConfigurationStore store,
            TimeSource time,
            RandomGenerator random) {
        return new ConfigurationPropagator(membership, store, time, random);
    }

    /**
     * Makes due calls to the configuration service and peers, and reports the configuration age.
     */
    public void onTick(Effects out) {
        long now = time.nanoTime();
        notifiedAt.values().removeIf(at -> now - at >= NUMBER_REPEAT_NANOS);
        reader.onTick(number(), out);
        catchUpCheck.onTick(number(), out);
        if (now - ageReportedNanos >= AGE_REPORT_INTERVAL_NANOS) {
            ageReportedNanos = now;
            double age = serviceAge().toMillis() / 1000.0;
            out.add(new Effect.RecordMetric(CoreMetric.CONFIGURATION_AGE_SECONDS, "", age));
        }
    }

    private long number() {
        return store.current().number();
    }

    /**
     * Compares the configuration number in any peer message with that of this instance, and handles
     * ConfigurationPull and ConfigurationPush.
     */
    public void onEnvelope(Envelope envelope, Effects out) {
        String from = envelope.getFrom();
        reader.onPeerMessage();
        catchUpCheck.observeNumber(envelope.getConfigurationNumber());
        if (envelope.hasConfigurationPull()) {
            onPull(from, envelope.getConfigurationPull(), out);
        } else if (envelope.hasConfigurationPush()) {
            onPush(from, envelope.getConfigurationPush(), out);
        } else if (envelope.getConfigurationNumber() < number() && !envelope.hasPing()) {
            // A ping needs no notice, because its ack carries the number.
            notifyPeer(from, out);
        }
        if (envelope.getConfigurationNumber() > number() && !pull.isPending(time.nanoTime())) {
            pullFrom(from, out);
        }
    }

    private void onPull(String from, ConfigurationPull request, Effects out) {
        if (request.getNumberOnly() || request.getHaveNumber() >= number()) {
            sendNumber(from, out);
        } else {
            HashSet<String> presentHashes = new HashSet<>(request.getHaveShardsList());
            send(from, ShardPacker.pack(store, presentHashes), out);
        }
    }

    private void onPush(String from, ConfigurationPush push, Effects out) {
        catchUpCheck.observeNumber(push.getNumber());
        catchUpCheck.onPeerAnswer(from, push.getNumber());
        if (push.getManifest().isEmpty()) {
            return;
        }
        pull.end();
        ConfigurationImage image = pull.receive(push);
        if (image != null) {
            offer(image, out);
        } else if (push.getNumber() > number() && push.getMore() && push.getShardsCount() > 0) {
            pullFrom(from, out);
        }
    }

    private void pullFrom(String from, Effects out) {
        ConfigurationPull request = pull.start(from, time.nanoTime());
        Envelope.Builder body = Envelope.newBuilder().setConfigurationPull(request);
        out.add(new Effect.SendPeer(from, body, false));
    }

    private void sendNumber(String to, Effects out) {
        send(to, ConfigurationPush.newBuilder().setNumber(number()).build(), out);
    }

    /** Sends a peer the number in force at this instance, at most once per half second. */
    private void notifyPeer(String to, Effects out) {
        if (notifiedAt.size() < MAX_NOTIFIED_PEERS && !notifiedAt.containsKey(to)) {
            notifiedAt.put(to, time.nanoTime());
            sendNumber(to, out);
        }
    }

    private static void send(String to, ConfigurationPush push, Effects out) {
        Envelope.Builder body = Envelope.newBuilder().setConfigurationPush(push);
        out.add(new Effect.SendPeer(to, body, false));
    }

    private void offer(ConfigurationImage image, Effects out) {
        store.offer(image)
                .peekLeft(
                        reason -> {
                            LOG.warnf("configuration %d refused: %s", image.number(), reason);
                            pull.reset();
                        })
                .peek(offer -> onOffered(offer, image.number(), out));
    }

    private void onOffered(ConfigurationStore.OfferResult offer, long offeredNumber, Effects out) {
        switch (offer) {
            case ACCEPTED -> {
                pull.reset();
                out.add(new Effect.RecordMetric(CoreMetric.CONFIGURATION_NUMBER, "", number()));
                List<InstanceRef> live = membership.live();
                for (int i = 0; i < FANOUT && !live.isEmpty(); i++) {
                    String peer = live.get(random.nextInt(live.size())).id();
                    if (!peer.equals(membership.self().id())) {
                        sendNumber(peer, out);
                    }
                }
            }
            case STALE ->
                    out.add(
                            new Effect.RecordMetric(
                                    CoreMetric.CONFIGURATION_STALE_READS, "", offeredNumber));
            case INCOMPLETE -> reader.requestRead();
            default -> {}
        }
    }

    /**
     * Handles an answer of the configuration service. An answer "not modified" is passed as an
     * image of the requested number without shards.
     */
    public void onRead(ConfigurationImage image, Effects out) {
        reader.onSuccess(image.number() < number());
        if (image.number() >= number()) {
            serviceConfirmedNanos = time.nanoTime();
        }
        catchUpCheck.onServiceRead();
        offer(image, out);
    }

    /** Schedules a retry after a failed call to the configuration service. */
    public void onReadFailed(String reason, Effects out) {
        reader.onFailure();
    }

    /** Repeats, after a pause of this instance, the checks that it made at its start. */
    public void recheck(Effects out) {
        catchUpCheck.restart();
        pull.reset();
        reader.requestRead();
        onTick(out);
    }

    /**
     * Returns whether the number in force has been checked since the start or the last pause. The
     * check succeeds when the service or a peer with a configuration has answered and no peer is
     * known to have a higher number. It waits for the answers of all peers, but at most 2 s.
     */
    public boolean caughtUp() {
        return catchUpCheck.isDone(number());
    }

    /**
     * Returns the time since the service last returned the number that was then in force here, or a
     * higher one. A higher number that comes from a peer does not reset it.
     */
    public Duration serviceAge() {
        return Duration.ofNanos(time.nanoTime() - serviceConfirmedNanos);
    }

    /** Returns whether this instance is a watcher of the service for its data centre. */
    public boolean isWatcher() {
        return reader.isWatcher();
    }
}
