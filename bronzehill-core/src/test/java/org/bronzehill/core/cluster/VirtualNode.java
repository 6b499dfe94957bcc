package org.bronzehill.core.cluster;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.core.budget.StoreBudget;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.LeaseListener;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.PauseDetector;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.spread.ConfigurationPropagator;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.LeaseReply;

/** One entry instance, reduced to the four components that form the cluster. */
final class VirtualNode implements LeaseListener {

    final VirtualCluster cluster;
    final InstanceRef ref;
    final Membership membership;
    final LeaseManager leases;
    final ConfigurationPropagator propagator;
    final StoreBudget budget;
    final List<Lease> acquiredLeases = new ArrayList<>();
    final List<HolderHandover> receivedHandovers = new ArrayList<>();
    final List<String> lostLeases = new ArrayList<>();
    final List<String> acknowledgedIntents = new ArrayList<>();
    private final PauseDetector pauseDetector;
    private final Deque<Runnable> delayedInputs = new ArrayDeque<>();
    private final long wallClockSkewMs;
    ConfigurationStore store = ConfigurationStore.create();
    boolean running = true;
    boolean grantsEverything;
    boolean listFrozen;
    long highestNumber;
    private boolean paused;
    long sentMessages;
    long sentBytes;
    long largestMessage;
    long cpuNanos;

    VirtualNode(VirtualCluster cluster, InstanceRef ref, long seed, long wallClockSkewMs) {
        this.cluster = cluster;
        this.ref = ref;
        this.wallClockSkewMs = wallClockSkewMs;
        TimeSource time = new Clock();
        SplittableRandom random = new SplittableRandom(seed);
        membership = Membership.create(ref, time, random.split());
        leases = LeaseManager.create(membership, () -> store.current(), time, this);
        propagator = ConfigurationPropagator.create(membership, store, time, random.split());
        budget =
                StoreBudget.create(
                        leases,
                        membership,
                        () -> store.current(),
                        time,
                        (engine, sequence, out) -> cluster.permitGranted(this, engine, sequence));
        pauseDetector = PauseDetector.create(time, Duration.ofSeconds(1));
    }

    private final class Clock implements TimeSource {
        @Override
        public Instant instant() {
            return VirtualCluster.START.plusNanos(cluster.now()).plusMillis(wallClockSkewMs);
        }

        @Override
        public long nanoTime() {
            return cluster.now();
        }
    }

    String id() {
        return ref.id();
    }

    /** Runs an input now, or after the pause if the process is paused. */
    void run(Runnable input) {
        if (!running) {
            return;
        }
        if (paused) {
            delayedInputs.add(input);
            return;
        }
        long start = System.nanoTime();
        input.run();
        cpuNanos += System.nanoTime() - start;
        long number = store.current().number();
        if (number < highestNumber) {
            cluster.violations.add(id() + " went back to " + number + " from " + highestNumber);
        }
        highestNumber = number;
    }

    void pause(long nanos) {
        paused = true;
        cluster.schedule(nanos, this::resume);
    }

    private void resume() {
        paused = false;
        run(this::tick);
        while (!delayedInputs.isEmpty() && !paused) {
            run(delayedInputs.poll());
        }
    }

    boolean paused() {
        return paused;
    }

    void tick() {
        if (pauseDetector.pausedSinceLastCall()) {
            leases.dropAll(this::execute);
            propagator.recheck(this::execute);
        }
        membership.onTick(this::execute);
        leases.onTick(this::execute);
        propagator.onTick(this::execute);
        budget.onTick(this::execute);
    }

    void onListRead(InstanceList list) {
        run(
                () -> {
                    membership.onInstanceList(list, this::execute);
                    leases.onInstanceList(list, this::execute);
                });
    }

    void onConfigurationRead(ConfigurationImage image) {
        run(() -> propagator.onRead(image, this::execute));
    }

    void onConfigurationReadFailed(String reason) {
        run(() -> propagator.onReadFailed(reason, this::execute));
    }

    void receive(Envelope e) {
        run(() -> handle(e));
    }

    private void handle(Envelope e) {
        if (e.getToIncarnation() != 0 && e.getToIncarnation() != ref.incarnation()) {
            return;
        }
        propagator.onEnvelope(e, this::execute);
        switch (e.getBodyCase()) {
            case PING, ACK, PING_REQUEST, LEAVING -> membership.onMessage(e, this::execute);
            case LEASE_REQUEST -> {
                if (grantsEverything) {
                    grantEverything(e);
                } else {
                    leases.onMessage(e, this::execute);
                }
            }
            case LEASE_REPLY, LEASE_RELEASE, INTENT_REQUEST, INTENT_REPLY, HOLDER_HANDOVER ->
                    leases.onMessage(e, this::execute);
            case PERMIT_REQUEST, PERMIT_GRANT, PERMIT_RETURN -> budget.onMessage(e, this::execute);
            default -> {}
        }
    }

    /** Grants every claim, to check that the properties detect it. */
    private void grantEverything(Envelope e) {
        LeaseReply.Builder reply =
                LeaseReply.newBuilder().setSequence(e.getLeaseRequest().getSequence());
        e.getLeaseRequest()
                .getClaimsList()
                .forEach(
                        c ->
                                reply.addAnswersBuilder()
                                        .setResource(c.getResource())
                                        .setFencing(c.getFencing())
                                        .setGranted(true));
        execute(
                new Effect.SendPeer(
                        e.getFrom(), Envelope.newBuilder().setLeaseReply(reply), false));
    }

    Effects effects() {
        return this::execute;
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.SendPeer s) {
            Envelope.Builder b = s.envelope().setFrom(id()).setFromIncarnation(ref.incarnation());
            b.setTo(s.instance()).setListVersion(membership.list().version());
            b.setConfigurationNumber(store.current().number());
            if (b.getToIncarnation() == 0) {
                b.setToIncarnation(
                        membership
                                .peer(s.instance())
                                .map(p -> p.ref().incarnation())
                                .getOrElse(0L));
            }
            Envelope e = b.build();
            sentMessages++;
            sentBytes += e.getSerializedSize();
            largestMessage = Math.max(largestMessage, e.getSerializedSize());
            cluster.send(e, s.newConnection());
        } else if (effect instanceof Effect.ReadConfiguration r) {
            cluster.service.read(this, r.haveNumber(), r.maxWait());
        }
    }

    @Override
    public void onAcquired(Lease lease, Option<HolderHandover> handover, Effects out) {
        acquiredLeases.add(lease);
        handover.forEach(receivedHandovers::add);
        budget.onLeaseAcquired(lease, handover, out);
        cluster.acquired(this, lease);
    }

    @Override
    public void onLost(String resource, Effects out) {
        lostLeases.add(resource);
    }

    @Override
    public void onIntentAcknowledged(String resource, String handle, Effects out) {
        acknowledgedIntents.add(handle);
    }
}
