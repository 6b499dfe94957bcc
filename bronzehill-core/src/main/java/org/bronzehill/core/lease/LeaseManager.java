package org.bronzehill.core.lease;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.core.lease.GrantTable.Claimant;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.HolderHandover;
import org.bronzehill.protocol.generated.IntentRequest;
import org.bronzehill.protocol.generated.LeaseClaim;
import org.bronzehill.protocol.generated.LeaseReply;
import org.bronzehill.protocol.generated.LeaseRequest;

/**
 * Acquires, renews and grants the leases on engines and on the load budget of each region's weight
 * store. The holder of that budget limits the rate of adapter loads in the region. A lease needs
 * grants from a majority of the resource's grantors, and only grantors are candidates for it. So a
 * live candidate exists whenever a majority is live, and a candidate knows from its own grant
 * table, without a message, whether the resource is free.
 *
 * <p>Nothing is claimed or granted before the first configuration. It defines the ownership scope:
 * whether the grantors of an engine come from its data centre or from the whole region.
 */
public final class LeaseManager {

    /**
     * Time for which an older configuration may still be in force at other instances. After a
     * change of the ownership scope, new grantors wait this long in addition to the usual hold-off,
     * so that leases under the old scope have ended.
     */
    private static final long CONFIGURATION_PROPAGATION_NANOS = 5_000_000_000L;

    private static final long HOLDER_HINT_LIFETIME_NANOS = 5_000_000_000L;
    private static final int MAX_HANDOVERS = 1024;

    private final Membership membership;
    private final Supplier<Configuration> configuration;
    private final TimeSource time;
    private final GrantorIndex grantorIndex;
    private final GrantTable grantTable;
    private final GrantorRequests grantorRequests;
    private final LeaseClient client;
    private final Map<String, HolderHint> holderHints = new HashMap<>();
    private OwnershipScope scope;
    private long scopeConfigurationNumber;
    private long checkedConfigurationNumber;
    private long grantorListVersion;

    private record HolderHint(String holder, long seenAtNanos) {}

    private LeaseManager(
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            LeaseListener listener) {
        this.membership = membership;
        this.configuration = configuration;
        this.time = time;
        this.grantorIndex = new GrantorIndex(membership.self());
        this.grantTable = new GrantTable(time);
        Claimant self = new Claimant(membership.self().id(), membership.self().incarnation());
        this.grantorRequests = new GrantorRequests(self, grantTable, time);
        this.client = new LeaseClient(membership, time, grantTable, grantorRequests, listener);
    }

    /** Creates a manager without any leases or grants. */
    public static LeaseManager create(
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            LeaseListener listener) {
        return new LeaseManager(membership, configuration, time, listener);
    }

    /** Renews the leases held here, claims free resources and reports expired leases. */
    public void onTick(Effects out) {
        applyScope(out);
        client.onTick(out);
    }

    private void applyScope(Effects out) {
        Configuration c = configuration.get();
        if (c.number() == 0 || c.number() == checkedConfigurationNumber) {
            return;
        }
        checkedConfigurationNumber = c.number();
        if (c.policy().scope() != scope) {
            boolean first = scope == null;
            scope = c.policy().scope();
            scopeConfigurationNumber = first ? 0 : c.number();
            recomputeGrantors(
                    GrantTable.GRANT_HOLD_OFF_NANOS + (first ? 0 : CONFIGURATION_PROPAGATION_NANOS),
                    out);
        }
    }

    /** Updates the grantors from the instance list that {@link Membership} has already applied. */
    public void onInstanceList(InstanceList list, Effects out) {
        applyScope(out);
        if (scope != null && membership.list().version() != grantorListVersion) {
            recomputeGrantors(GrantTable.GRANT_HOLD_OFF_NANOS, out);
        }
    }

    /**
     * Recomputes the grantors; for resources that are new here, grants start after the hold-off.
     */
    private void recomputeGrantors(long holdOffNanos, Effects out) {
        grantorListVersion = membership.list().version();
        grantorIndex.rebuild(membership.list(), scope);
        Set<String> resourcesAsGrantor = new TreeSet<>();
        grantorIndex
                .grantorSets()
                .forEach(
                        (resource, set) -> {
                            if (set.contains(membership.self().id())) {
                                resourcesAsGrantor.add(resource);
                            }
                        });
        grantTable.retain(resourcesAsGrantor, holdOffNanos);
        client.updateGrantors(grantorIndex.grantorSets(), resourcesAsGrantor, out);
        holderHints.keySet().retainAll(grantorIndex.grantorSets().keySet());
    }

    /**
     * Handles LeaseRequest, LeaseReply, LeaseRelease, IntentRequest, IntentReply, HolderHandover.
     */
    public void onMessage(Envelope envelope, Effects out) {
        String from = envelope.getFrom();
        Option<Peer> peer = membership.peer(from);
        if (peer.exists(p -> envelope.getFromIncarnation() < p.ref().incarnation())) {
            return;
        }
        Claimant claimant = new Claimant(from, envelope.getFromIncarnation());
        switch (envelope.getBodyCase()) {
            case LEASE_REQUEST -> grant(claimant, envelope, out);
            case LEASE_REPLY -> {
                LeaseReply reply = envelope.getLeaseReply();
                GrantorRequests.PendingRequest sent =
                        grantorRequests.takePending(from, reply.getSequence());
                if (sent != null) {
                    reply.getAnswersList()
                            .forEach(a -> client.onAnswer(from, a, sent.sentAtNanos()));
                    client.reportConfirmed(out);
                }
            }
            case LEASE_RELEASE ->
                    envelope.getLeaseRelease()
                            .getClaimsList()
                            .forEach(c -> grantTable.release(claimant, c));
            case INTENT_REQUEST -> {
                IntentRequest r = envelope.getIntentRequest();
                boolean accepted = grantTable.updateIntent(claimant, r);
                if (!r.getFinished()) {
                    Envelope.Builder body =
                            Envelope.newBuilder()
                                    .setIntentReply(GrantorRequests.reply(r, accepted));
                    out.add(new Effect.SendPeer(from, body, false));
                }
            }
            case INTENT_REPLY -> client.onIntentReply(from, envelope.getIntentReply(), out);
            case HOLDER_HANDOVER -> {
                HolderHandover h = envelope.getHolderHandover();
                if (grantorIndex.grantorsOf(h.getResource()) != null) {
                    client.onHandover(h, MAX_HANDOVERS);
                    client.onTick(out);
                }
            }
            default -> {}
        }
    }

    /**
     * Answers the claims of a request. All of them are refused if the sender has an older instance
     * list or ownership scope, under which the resource may have other grantors.
     */
    private void grant(Claimant from, Envelope envelope, Effects out) {
        LeaseRequest request = envelope.getLeaseRequest();
        boolean outdated =
                scope == null
                        || envelope.getListVersion() < membership.list().version()
                        || envelope.getConfigurationNumber() < scopeConfigurationNumber;
        LeaseReply.Builder reply = LeaseReply.newBuilder().setSequence(request.getSequence());
        for (LeaseClaim c : request.getClaimsList()) {
            if (outdated) {
                reply.addAnswersBuilder().setResource(c.getResource()).setFencing(c.getFencing());
            } else {
                reply.addAnswers(grantTable.claim(from, request.getSequence(), c));
            }
        }
        out.add(new Effect.SendPeer(from.id(), Envelope.newBuilder().setLeaseReply(reply), false));
    }

    /** Returns whether this instance holds the resource at this moment. */
    public boolean holds(String resource) {
        return !membership.superseded() && client.holds(resource);
    }

    /** Returns the lease on the resource if this instance holds it. */
    public Option<Lease> lease(String resource) {
        return holds(resource) ? Option.some(client.lease(resource)) : Option.none();
    }

    /** Returns the resources that this instance holds, ordered by name. */
    public Set<String> heldResources() {
        Set<String> held = new TreeSet<>();
        client.resources().stream().filter(this::holds).forEach(held::add);
        return held;
    }

    /** Returns the instance that most likely holds the resource, according to local knowledge. */
    public Option<String> holderOf(String resource) {
        if (holds(resource)) {
            return Option.some(membership.self().id());
        }
        String granted = grantTable.holder(resource);
        if (granted != null && !granted.equals(membership.self().id())) {
            return Option.some(granted);
        }
        HolderHint hint = holderHints.get(resource);
        if (hint != null
                && time.nanoTime() - hint.seenAtNanos() < HOLDER_HINT_LIFETIME_NANOS
                && membership.peer(hint.holder()).exists(p -> p.status().isLive())) {
            return Option.some(hint.holder());
        }
        GrantorSet set = grantorIndex.grantorsOf(resource);
        if (set == null) {
            return Option.none();
        }
        return Option.ofOptional(set.grantors().stream().filter(client::isLive).findFirst());
    }

    /** Records that an instance acts as the holder, or that a message names it as the holder. */
    public void observeHolder(String resource, String holder) {
        if (grantorIndex.grantorsOf(resource) != null) {
            holderHints.put(resource, new HolderHint(holder, time.nanoTime()));
        }
    }

    /** Returns whether this instance is one of the grantors of the resource. */
    public boolean isGrantor(String resource) {
        GrantorSet set = grantorIndex.grantorsOf(resource);
        return set != null && set.contains(membership.self().id());
    }

    /** Returns whether a majority of the resource's grantors is live. */
    public boolean majorityReachable(String resource) {
        GrantorSet set = grantorIndex.grantorsOf(resource);
        return set != null
                && set.grantors().stream().filter(client::isLive).count() >= set.majority();
    }

    /** Requests that the grantors record the planned eviction of {@code handle}. */
    public void announceIntent(String resource, String handle, Effects out) {
        if (holds(resource)) {
            client.announceIntent(resource, handle, out);
        }
    }

    /** Informs the grantors that the eviction of {@code handle} has completed or was cancelled. */
    public void finishIntent(String resource, String handle, Effects out) {
        client.finishIntent(resource, handle, out);
    }

    /** Records a fencing number reported by the engine; a higher one ends the lease held here. */
    public void observeFencing(String resource, long fencing) {
        client.observeFencing(resource, fencing);
    }

    /**
     * Drops all leases immediately, after a process pause. No lease is claimed until the instance
     * list has been read again.
     */
    public void dropAll(Effects out) {
        client.dropAll(out);
    }

    /** Releases the lease at a planned shutdown and sends its state to the next live candidate. */
    public void release(String resource, HolderHandover handover, Effects out) {
        client.release(resource, handover, out);
    }
}
