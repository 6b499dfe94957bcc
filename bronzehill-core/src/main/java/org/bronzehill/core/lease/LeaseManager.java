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
 * Obtains, keeps and grants the leases on engines and budgets. The candidates for a resource are
 * its grantors: a lease needs a majority of them, so that one of them is live whenever any instance
 * can hold the lease, and a grantor knows without a message whether the resource is free.
 *
 * <p>Nothing is claimed or granted before the first configuration, which names the scope.
 */
public final class LeaseManager {

    /**
     * Time for which an older configuration may still be in force elsewhere. After a change of the
     * ownership scope, new grantors wait that long so that leases of the old scope have ended.
     */
    private static final long SPREAD_NANOS = 5_000_000_000L;

    private static final long HINT_NANOS = 5_000_000_000L;
    private static final int MAX_HANDOVERS = 1024;

    private final Membership membership;
    private final Supplier<Configuration> configuration;
    private final TimeSource time;
    private final ScopeIndex index;
    private final GrantTable isGrantor;
    private final GrantorLinks links;
    private final LeaseSeeker seeker;
    private final Map<String, Hint> hints = new HashMap<>();
    private OwnershipScope scope;
    private long scopeNumber;
    private long scopeChecked;
    private long regroupedVersion;

    private record Hint(String holder, long at) {}

    private LeaseManager(
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            LeaseListener listener) {
        this.membership = membership;
        this.configuration = configuration;
        this.time = time;
        this.index = new ScopeIndex(membership.self());
        this.isGrantor = new GrantTable(time);
        Claimant self = new Claimant(membership.self().id(), membership.self().incarnation());
        this.links = new GrantorLinks(self, isGrantor, time);
        this.seeker = new LeaseSeeker(membership, time, isGrantor, links, listener);
    }

    /** Creates a manager that holds and grants nothing yet. */
    public static LeaseManager create(
            Membership membership,
            Supplier<Configuration> configuration,
            TimeSource time,
            LeaseListener listener) {
        return new LeaseManager(membership, configuration, time, listener);
    }

    /** Renews leases, obtains free ones and reports expired ones. */
    public void onTick(Effects out) {
        followScope(out);
        seeker.onTick(out);
    }

    private void followScope(Effects out) {
        Configuration c = configuration.get();
        if (c.number() == 0 || c.number() == scopeChecked) {
            return;
        }
        scopeChecked = c.number();
        if (c.policy().scope() != scope) {
            boolean first = scope == null;
            scope = c.policy().scope();
            scopeNumber = first ? 0 : c.number();
            regroup(GrantTable.HOLD_OFF_NANOS + (first ? 0 : SPREAD_NANOS), out);
        }
    }

    /** Follows a change of the published instance list; called after the membership's method. */
    public void onInstanceList(InstanceList list, Effects out) {
        followScope(out);
        if (scope != null && membership.list().version() != regroupedVersion) {
            regroup(GrantTable.HOLD_OFF_NANOS, out);
        }
    }

    /** Recomputes the grantors; where this instance becomes one, it grants only after a wait. */
    private void regroup(long holdOff, Effects out) {
        regroupedVersion = membership.list().version();
        index.rebuild(membership.list(), scope);
        Set<String> mine = new TreeSet<>();
        index.sets()
                .forEach(
                        (resource, set) -> {
                            if (set.contains(membership.self().id())) {
                                mine.add(resource);
                            }
                        });
        isGrantor.retain(mine, holdOff);
        seeker.regroup(index.sets(), mine, out);
        hints.keySet().retainAll(index.sets().keySet());
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
                GrantorLinks.Sent sent = links.answered(from, reply.getSequence());
                if (sent != null) {
                    reply.getAnswersList().forEach(a -> seeker.answered(from, a, sent.at()));
                    seeker.settle(out);
                }
            }
            case LEASE_RELEASE ->
                    envelope.getLeaseRelease()
                            .getClaimsList()
                            .forEach(c -> isGrantor.release(claimant, c));
            case INTENT_REQUEST -> {
                IntentRequest r = envelope.getIntentRequest();
                boolean accepted = isGrantor.intent(claimant, r);
                if (!r.getFinished()) {
                    Envelope.Builder body =
                            Envelope.newBuilder().setIntentReply(GrantorLinks.reply(r, accepted));
                    out.add(new Effect.SendPeer(from, body, false));
                }
            }
            case INTENT_REPLY -> seeker.intentReply(from, envelope.getIntentReply(), out);
            case HOLDER_HANDOVER -> {
                HolderHandover h = envelope.getHolderHandover();
                if (index.of(h.getResource()) != null) {
                    seeker.handedOver(h, MAX_HANDOVERS);
                    seeker.onTick(out);
                }
            }
            default -> {}
        }
    }

    /** A request under an older list or scope may rest on other grantors and is refused. */
    private void grant(Claimant from, Envelope envelope, Effects out) {
        LeaseRequest request = envelope.getLeaseRequest();
        boolean outdated =
                scope == null
                        || envelope.getListVersion() < membership.list().version()
                        || envelope.getConfigurationNumber() < scopeNumber;
        LeaseReply.Builder reply = LeaseReply.newBuilder().setSequence(request.getSequence());
        for (LeaseClaim c : request.getClaimsList()) {
            if (outdated) {
                reply.addAnswersBuilder().setResource(c.getResource()).setFencing(c.getFencing());
            } else {
                reply.addAnswers(isGrantor.claim(from, request.getSequence(), c));
            }
        }
        out.add(new Effect.SendPeer(from.id(), Envelope.newBuilder().setLeaseReply(reply), false));
    }

    /** Returns whether this instance holds the resource at this moment. */
    public boolean holds(String resource) {
        return !membership.superseded() && seeker.holds(resource);
    }

    /** Returns the lease on the resource if this instance holds it. */
    public Option<Lease> lease(String resource) {
        return holds(resource) ? Option.some(seeker.lease(resource)) : Option.none();
    }

    /** Returns the resources that this instance holds, ordered by name. */
    public Set<String> heldResources() {
        Set<String> held = new TreeSet<>();
        seeker.resources().stream().filter(this::holds).forEach(held::add);
        return held;
    }

    /** Returns the instance believed to hold the resource. */
    public Option<String> holderOf(String resource) {
        if (holds(resource)) {
            return Option.some(membership.self().id());
        }
        String granted = isGrantor.holder(resource);
        if (granted != null && !granted.equals(membership.self().id())) {
            return Option.some(granted);
        }
        Hint hint = hints.get(resource);
        if (hint != null
                && time.nanoTime() - hint.at() < HINT_NANOS
                && membership.peer(hint.holder()).exists(p -> p.status().isLive())) {
            return Option.some(hint.holder());
        }
        GrantorSet set = index.of(resource);
        if (set == null) {
            return Option.none();
        }
        return Option.ofOptional(set.grantors().stream().filter(seeker::isLive).findFirst());
    }

    /** Notes that another instance was seen to act as, or was named as, the holder. */
    public void observeHolder(String resource, String holder) {
        if (index.of(resource) != null) {
            hints.put(resource, new Hint(holder, time.nanoTime()));
        }
    }

    /** Returns whether this instance is one of the grantors of the resource. */
    public boolean isGrantor(String resource) {
        GrantorSet set = index.of(resource);
        return set != null && set.contains(membership.self().id());
    }

    /** Returns whether enough grantors are live for any instance here to hold the resource. */
    public boolean majorityReachable(String resource) {
        GrantorSet set = index.of(resource);
        return set != null
                && set.grantors().stream().filter(seeker::isLive).count() >= set.majority();
    }

    /** Asks the grantors to record that {@code handle} is about to be evicted. */
    public void announceIntent(String resource, String handle, Effects out) {
        if (holds(resource)) {
            seeker.announce(resource, handle, out);
        }
    }

    /** Tells the grantors that the eviction of {@code handle} has finished or was given up. */
    public void finishIntent(String resource, String handle, Effects out) {
        seeker.finish(resource, handle, out);
    }

    /** Notes a fencing number that the engine behind the resource has reported. */
    public void observeFencing(String resource, long fencing) {
        seeker.see(resource, fencing);
    }

    /**
     * Drops all leases at once, after a pause. Nothing is claimed again before the instance list
     * was confirmed by the platform or a peer.
     */
    public void dropAll(Effects out) {
        seeker.dropAll(out);
    }

    /** Gives the resource up at a planned stop and sends its state to the next candidate. */
    public void release(String resource, HolderHandover handover, Effects out) {
        seeker.release(resource, handover, out);
    }
}
