package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.IdSequence;

/** Sends calls and lookups to the application runners and tracks the acts that wait for them. */
final class RunnerCalls {

    static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(500);

    private final ClusterView peers;
    private final IdSequence ids;
    private final Map<Long, ActExecution> pendingCalls = new HashMap<>();

    RunnerCalls(ClusterView peers, IdSequence ids) {
        this.peers = peers;
        this.ids = ids;
    }

    /** Removes a pending call and returns its act; null if the call is not pending. */
    ActExecution take(long callId) {
        return pendingCalls.remove(callId);
    }

    /**
     * Looks the act up at every runner of its service, including leaving ones, because any of them
     * may have run it. Returns whether there is such a runner.
     */
    boolean lookUp(ActExecution act, Effects out) {
        discardLookups(act);
        ActRequest request = act.request();
        for (Upstream runner : peers.runners(request.service())) {
            long id = ids.next();
            act.lookups().put(id, runner.id());
            pendingCalls.put(id, act);
            out.add(
                    new Effect.LookupAct(
                            id, runner.id(), request.service(), act.key(), LOOKUP_TIMEOUT));
        }
        return !act.lookups().isEmpty();
    }

    /** Calls a runner that accepts work. Returns false if there is none. */
    boolean call(ActExecution act, Duration remaining, Effects out) {
        ActRequest request = act.request();
        List<Upstream> accepting =
                peers.runners(request.service()).stream().filter(Upstream::acceptsWork).toList();
        if (accepting.isEmpty()) {
            return false;
        }
        act.runner = RendezvousHash.rank(act.key(), accepting, Upstream::id).get(0).id();
        act.callId = ids.next();
        act.callStarted = true;
        pendingCalls.put(act.callId, act);
        out.add(
                new Effect.CallService(
                        act.callId,
                        act.runner,
                        request.service(),
                        request.operation(),
                        act.key(),
                        request.body().toByteArray(),
                        request.contentType(),
                        request.requestId(),
                        callTimeout(remaining)));
        return true;
    }

    /** Returns a timeout that leaves time for a lookup if the call is not answered. */
    private static Duration callTimeout(Duration remaining) {
        Duration half = remaining.dividedBy(2);
        Duration withoutLookup = remaining.minus(LOOKUP_TIMEOUT);
        return withoutLookup.compareTo(half) > 0 ? withoutLookup : half;
    }

    /** Removes the pending lookups of an act, so that their answers are ignored. */
    void discardLookups(ActExecution act) {
        act.lookups().keySet().forEach(pendingCalls::remove);
        act.lookups().clear();
    }

    /** Removes the pending call of an act, so that its answer is ignored. */
    void discardCall(ActExecution act) {
        pendingCalls.remove(act.callId);
    }
}
