package org.bronzehill.core.budget;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.Limits;
import org.bronzehill.core.budget.PermitClient.ActivePermit;
import org.bronzehill.core.budget.PermitClient.LoadId;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.PermitGrant;
import org.bronzehill.protocol.generated.PermitRequest;
import org.bronzehill.protocol.generated.PermitReturn;

/**
 * Rate limit for loads from the weight store of the region, enforced by permits. The holder of the
 * budget's lease orders the requests of all engine holders by deadline and value, and issues
 * permits at the rate of the store.
 */
public final class StoreBudget {

    private final LeaseManager leases;
    private final Membership membership;
    private final Supplier<Configuration> configuration;
    private final PermitListener listener;
    private final String resource;
    private final InstanceRef self;
    private final PermitIssuer issuer;
    private final PermitClient client;
    private final List<LoadId> undeliveredGrants = new ArrayList<>();
    private long holderFencing;

    private StoreBudget(
            LeaseManager leases,
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            PermitListener listener) {
        this.leases = leases;
        this.membership = membership;
        this.configuration = configuration;
        this.listener = listener;
        this.self = membership.self();
        this.resource = Resources.store(self.region());
        this.issuer = new PermitIssuer(time);
        this.client = new PermitClient(time);
    }

    /** Creates a budget without permits and requests. */
    public static StoreBudget create(
            LeaseManager leases,
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            PermitListener listener) {
        return new StoreBudget(leases, membership, configuration, time, listener);
    }

    /**
     * Sends pending requests and repeats those that have not been granted, issues the permits that
     * are due, and grants permits from the fallback share.
     */
    public void onTick(Effects out) {
        syncWithLease();
        sendDueRequests(out);
        issue(out);
        Limits limits = configuration.get().limits();
        int n = Math.max(1, listedInstances());
        int share = Math.max(1, limits.storeInFlight() / n);
        undeliveredGrants.addAll(client.grantFallback(limits.storeLoadsPerSecond() / n, share));
        deliverGrants(out);
    }

    private void syncWithLease() {
        Option<Lease> lease = leases.lease(resource);
        if (lease.isEmpty()) {
            issuer.stop();
        } else if (lease.get().fencing() != issuer.currentFencing()) {
            issuer.start(lease.get().fencing(), null);
        }
    }

    private void sendDueRequests(Effects out) {
        if (issuer.currentFencing() != 0) {
            client.recordContact();
            for (PermitRequest r : client.takeDueRequests(self.id(), issuer.currentFencing())) {
                issuer.enqueue(ownKey(r.getEngine(), r.getSequence()), r);
            }
            return;
        }
        Option<String> holder = leases.holderOf(resource);
        if (holder.isDefined() && !holder.get().equals(self.id())) {
            for (PermitRequest r : client.takeDueRequests(holder.get(), holderFencing)) {
                send(holder.get(), Envelope.newBuilder().setPermitRequest(r), out);
            }
        }
    }

    private PermitKey ownKey(String engine, long sequence) {
        return new PermitKey(self.id(), self.incarnation(), engine, sequence);
    }

    private void issue(Effects out) {
        if (issuer.currentFencing() == 0 || !leases.holds(resource)) {
            return;
        }
        Limits limits = configuration.get().limits();
        double rate = limits.storeLoadsPerSecond() * reachableShare();
        for (PermitKey key : issuer.issue(rate, limits.storeInFlight(), this::isUp)) {
            out.add(new Effect.RecordMetric(CoreMetric.PERMITS_GRANTED, "", 1));
            if (key.client().equals(self.id())) {
                LoadId load = new LoadId(key.engine(), key.sequence());
                if (client.isPending(load)) {
                    client.granted(load, self.id(), PermitIssuer.PERMIT_VALIDITY_NANOS);
                    undeliveredGrants.add(load);
                } else {
                    issuer.release(key, false);
                }
            } else {
                sendGrant(key, out);
            }
        }
    }

    private void sendGrant(PermitKey key, Effects out) {
        PermitGrant.Builder grant =
                PermitGrant.newBuilder()
                        .setEngine(key.engine())
                        .setSequence(key.sequence())
                        .setValidMs(PermitIssuer.PERMIT_VALIDITY_NANOS / 1_000_000)
                        .setEpoch(issuer.currentFencing());
        send(key.client(), Envelope.newBuilder().setPermitGrant(grant), out);
    }

    private boolean isUp(String id) {
        return id.equals(self.id())
                || membership
                        .peer(id)
                        .exists(p -> p.status().isLive() || p.status() == PeerStatus.LEAVING);
    }

    private int listedInstances() {
        int n = 0;
        for (ListedInstance i : membership.list().instances()) {
            n += i.ref().region().equals(self.region()) ? 1 : 0;
        }
        return n;
    }

    /**
     * Returns the fraction of the region's instances that can be reached. Unreachable instances may
     * use their own shares of the rate, so these shares are not issued here.
     */
    private double reachableShare() {
        int reachable = 0;
        for (ListedInstance i : membership.list().instances()) {
            if (i.ref().region().equals(self.region()) && isUp(i.ref().id())) {
                reachable++;
            }
        }
        return (double) reachable / Math.max(1, listedInstances());
    }

    private void deliverGrants(Effects out) {
        List<LoadId> ready = List.copyOf(undeliveredGrants);
        undeliveredGrants.clear();
        ready.forEach(l -> listener.granted(l.engine(), l.sequence(), out));
    }

    /** Handles PermitRequest, PermitGrant and PermitReturn. */
    public void onMessage(Envelope envelope, Effects out) {
        String from = envelope.getFrom();
        switch (envelope.getBodyCase()) {
            case PERMIT_REQUEST -> onRequest(envelope, envelope.getPermitRequest(), out);
            case PERMIT_GRANT -> onGrant(from, envelope.getPermitGrant(), out);
            case PERMIT_RETURN -> {
                PermitReturn r = envelope.getPermitReturn();
                issuer.release(
                        new PermitKey(
                                from,
                                envelope.getFromIncarnation(),
                                r.getEngine(),
                                r.getSequence()),
                        r.getUsed());
                issue(out);
                deliverGrants(out);
            }
            default -> {}
        }
    }

    private void onRequest(Envelope envelope, PermitRequest request, Effects out) {
        syncWithLease();
        String from = envelope.getFrom();
        PermitKey key =
                new PermitKey(
                        from,
                        envelope.getFromIncarnation(),
                        request.getEngine(),
                        request.getSequence());
        if (issuer.currentFencing() == 0) {
            String holder = leases.holderOf(resource).getOrElse("");
            PermitGrant.Builder hint =
                    PermitGrant.newBuilder()
                            .setEngine(request.getEngine())
                            .setSequence(request.getSequence())
                            .setHolder(holder.equals(self.id()) ? "" : holder);
            send(from, Envelope.newBuilder().setPermitGrant(hint), out);
        } else if (issuer.isIssued(key)) {
            sendGrant(key, out);
        } else {
            PermitGrant.Builder reply =
                    PermitGrant.newBuilder()
                            .setEngine(request.getEngine())
                            .setSequence(request.getSequence())
                            .setQueued(issuer.enqueue(key, request))
                            .setEpoch(issuer.currentFencing());
            send(from, Envelope.newBuilder().setPermitGrant(reply), out);
            issue(out);
            deliverGrants(out);
        }
    }

    private void onGrant(String from, PermitGrant grant, Effects out) {
        if (grant.getEpoch() == 0) {
            if (!grant.getHolder().isEmpty() && !grant.getHolder().equals(from)) {
                leases.observeHolder(resource, grant.getHolder());
            }
            return;
        }
        client.recordContact();
        holderFencing = grant.getEpoch();
        leases.observeHolder(resource, from);
        if (grant.getValidMs() == 0) {
            return;
        }
        LoadId load = new LoadId(grant.getEngine(), grant.getSequence());
        if (client.isPending(load)) {
            client.granted(load, from, grant.getValidMs() * 1_000_000);
            listener.granted(load.engine(), load.sequence(), out);
        } else if (!client.holdsPermit(load)) {
            sendReturn(from, load, false, out);
        }
    }

    /**
     * Starts to issue permits after the lease on the budget was obtained. If this method is not
     * called, the next tick starts the epoch without a handover, and no permit is issued until
     * those of the previous holder have expired.
     */
    public void onLeaseAcquired(Lease lease, Option<HolderHandover> handover, Effects out) {
        if (lease.resource().equals(resource)) {
            issuer.start(lease.fencing(), handover.getOrNull());
        }
    }

    /** Returns the permits in use for the next holder of the budget; used at a planned stop. */
    public HolderHandover handover() {
        return issuer.handover();
    }

    /**
     * Requests a permit, or changes the deadline and value of a request with the same engine and
     * sequence number.
     */
    public void request(PermitRequest request, Effects out) {
        client.request(request);
        sendDueRequests(out);
    }

    /**
     * Withdraws a request that is no longer needed, or returns its permit if it was already
     * granted.
     */
    public void withdraw(String engine, long sequence, Effects out) {
        LoadId load = new LoadId(engine, sequence);
        if (client.withdraw(load)) {
            if (issuer.currentFencing() != 0) {
                issuer.release(ownKey(engine, sequence), false);
            } else {
                leases.holderOf(resource)
                        .filter(h -> !h.equals(self.id()))
                        .forEach(h -> sendReturn(h, load, false, out));
            }
        } else {
            returnPermit(engine, sequence, false, out);
        }
    }

    /**
     * Returns a permit.
     *
     * @param used whether the store may have been read; an unused permit returns its token to the
     *     budget
     */
    public void returnPermit(String engine, long sequence, boolean used, Effects out) {
        LoadId load = new LoadId(engine, sequence);
        undeliveredGrants.remove(load);
        ActivePermit permit = client.removePermit(load);
        if (permit == null || permit.issuer().isEmpty()) {
            return;
        }
        if (permit.issuer().equals(self.id())) {
            issuer.release(ownKey(engine, sequence), used);
        } else {
            sendReturn(permit.issuer(), load, used, out);
        }
    }

    private static void sendReturn(String to, LoadId load, boolean used, Effects out) {
        PermitReturn.Builder r =
                PermitReturn.newBuilder()
                        .setEngine(load.engine())
                        .setSequence(load.sequence())
                        .setUsed(used);
        send(to, Envelope.newBuilder().setPermitReturn(r), out);
    }

    private static void send(String to, Envelope.Builder body, Effects out) {
        out.add(new Effect.SendPeer(to, body, false));
    }
}
