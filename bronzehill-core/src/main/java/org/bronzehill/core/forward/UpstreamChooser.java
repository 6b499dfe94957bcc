package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.RendezvousHash;

/**
 * Chooses the upstream of a request: the one with the lowest expected time to a complete answer.
 *
 * <p>When few adapters get most requests, a busy engine that holds the adapter is passed over for
 * an idle one as soon as the wait at the busy engine exceeds the time of a load. This spreads
 * copies of popular adapters. A random part breaks ties, so that instances with the same view of
 * the load do not all choose the same upstream.
 *
 * <p>When the working set is larger than the adapter slots of all engines, an evicted adapter goes
 * back to the engine that held it, which loads it in a fraction of the time and without the weight
 * store.
 */
final class UpstreamChooser {

    /** Expected additional time at an engine whose batch is full, compared with an idle engine. */
    private static final double FULL_BATCH_COST_MS = 600;

    /** Average time lost by failed requests, of which some cannot be sent again. */
    private static final double FAILURE_COST_MS = 2500;

    /**
     * Cost of a load to other requests, apart from the waits for slots: it uses bandwidth of the
     * weight store and evicts another adapter.
     */
    private static final double LOAD_COST_MS = 400;

    /**
     * Discount for the engine that is first in the rendezvous order of the adapter. It is likely to
     * have held the adapter before and to load it faster.
     */
    private static final double PREFERRED_DISCOUNT_MS = 80;

    /** Cost of the round trip to another data centre; keeps traffic local at equal load. */
    private static final double REMOTE_COST_MS = 40;

    /**
     * Part of a request's target that an engine may need to read the prompts before it. The rest is
     * for the prompt of the request and for its wait at this instance.
     */
    private static final double MAX_BACKLOG_FRACTION = 0.5;

    /**
     * Part of a request's target that an engine may always need to read the prompts before it. An
     * engine with so little to do may as well serve a request that will be late.
     */
    private static final double MIN_BACKLOG_FRACTION = 0.25;

    /** Part of a request's target that is kept for what the prediction does not include. */
    private static final double TARGET_MARGIN = 0.1;

    /** Largest random part of the cost; below the cost of another data centre. */
    private static final double MAX_JITTER_MS = 6;

    private final String dataCentre;
    private final RandomGenerator random;

    /**
     * @param dataCentre data centre of this instance
     */
    UpstreamChooser(String dataCentre, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.random = random;
    }

    /** Chosen upstream, and whether it holds the request's adapter. */
    record Choice(
            UpstreamState upstream, boolean adapterReady, Duration adapterWait, double costMs) {

        /** Returns whether the adapter is expected to be there by a monotonic time. */
        boolean isReadyBy(long deadlineNanos, long now) {
            return adapterReady || now + adapterWait.toNanos() - deadlineNanos <= 0;
        }
    }

    /** Inputs of the choice other than the upstreams. */
    record ChoiceInputs(
            ForwardRequest request,
            Option<EngineSpec> engine,
            int adapterVersion,
            AdapterWaitModel waitModel,
            String preferredUpstream,
            PromptReadTime promptReadTime,
            boolean answerBegun,
            Duration age,
            ExcludedUpstreams excluded) {}

    /**
     * Returns the first upstream in the rendezvous order of the request's adapter; empty if the
     * request names no adapter.
     */
    static String preferredUpstream(ForwardRequest request, Collection<UpstreamState> serving) {
        String best = "";
        if (request.adapter().isDefined() && !request.adapter().get().isBase()) {
            long key = RendezvousHash.keyHash(request.adapter().get().key());
            long highest = Long.MIN_VALUE;
            for (UpstreamState u : serving) {
                long weight = RendezvousHash.weightOf(key, u.nameHash());
                if (weight >= highest) {
                    highest = weight;
                    best = u.id();
                }
            }
        }
        return best;
    }

    /** Returns the upstream with the lowest cost that has capacity; empty if none has. */
    Option<Choice> choose(ChoiceInputs inputs, Collection<UpstreamState> upstreams) {
        Choice best = null;
        for (UpstreamState u : upstreams) {
            if (inputs.excluded().contains(u) || u.health().isPaused() || !hasCapacity(inputs, u)) {
                continue;
            }
            Choice c = evaluate(inputs, u);
            if (!c.adapterReady() && !canLoad(inputs, u)) {
                continue;
            }
            if (best == null || c.costMs() < best.costMs()) {
                best = c;
            }
        }
        return Option.of(best);
    }

    /**
     * Returns whether a request may wait for its adapter here: not before the base model is loaded.
     */
    private static boolean canLoad(ChoiceInputs inputs, UpstreamState u) {
        return !u.areAdapterWaitsPaused() && u.holdsModel(inputs.request().adapter().get().model());
    }

    private Choice evaluate(ChoiceInputs inputs, UpstreamState u) {
        boolean ready = isReady(inputs, u);
        double cost = utilization(inputs, u) * FULL_BATCH_COST_MS;
        cost += u.health().failureRate() * FAILURE_COST_MS;
        cost += inputs.promptReadTime().expectedMs(u.totalUnreadTokens());
        cost += random.nextDouble() * MAX_JITTER_MS;
        if (!u.upstreamRecord().dataCentre().equals(dataCentre)) {
            cost += REMOTE_COST_MS;
        }
        double wait = ready ? 0 : expectedAdapterWaitMs(inputs, u);
        if (!ready) {
            cost += wait + loadCostMs(inputs, u);
        }
        return new Choice(u, ready, Duration.ofMillis(Math.round(wait)), cost);
    }

    private static boolean isReady(ChoiceInputs inputs, UpstreamState u) {
        if (inputs.engine().isEmpty()) {
            // A plain service holds no models, even if the request names one.
            return true;
        }
        return inputs.request()
                .adapter()
                .forAll(
                        a ->
                                u.holdsModel(a.model())
                                        && (a.isBase() || u.holds(a, inputs.adapterVersion())));
    }

    private static double expectedAdapterWaitMs(ChoiceInputs inputs, UpstreamState u) {
        return inputs.waitModel()
                .expectedWaitMs(
                        u, inputs.request().adapter().get(), inputs.engine().get().maxAdapters());
    }

    private static double loadCostMs(ChoiceInputs inputs, UpstreamState u) {
        AdapterRef adapter = inputs.request().adapter().get();
        if (u.isLoadingOrAwaited(adapter)) {
            return 0;
        }
        double delayToOthers =
                inputs.waitModel().delayToOthersMs(u, adapter, inputs.engine().get().maxAdapters());
        if (u.heldRecently(adapter)) {
            return delayToOthers + LOAD_COST_MS * AdapterLoadTime.RELOAD_FRACTION;
        }
        return delayToOthers
                + LOAD_COST_MS
                - (u.id().equals(inputs.preferredUpstream()) ? PREFERRED_DISCOUNT_MS : 0);
    }

    /** Returns the utilization of the upstream; 1 when its batch or its memory is full. */
    static double utilization(ChoiceInputs inputs, UpstreamState u) {
        int slots =
                Math.max(
                        1,
                        inputs.engine()
                                .map(EngineSpec::slots)
                                .getOrElse(u.upstreamRecord().slots()));
        double bySlots = (double) u.totalRequests() / slots;
        double byMemory =
                inputs.engine()
                        .map(e -> (double) u.totalTokens() / Math.max(1, e.memoryTokens()))
                        .getOrElse(0.0);
        return Math.max(bySlots, byMemory);
    }

    /**
     * Returns whether the upstream can begin the request soon. A plain service answers within a few
     * hundredths of a second, so one request may wait there for each one that runs.
     */
    private static boolean hasCapacity(ChoiceInputs inputs, UpstreamState u) {
        if (inputs.engine().isEmpty()) {
            return u.totalRequests() < 2 * Math.max(1, u.upstreamRecord().slots())
                    && (!u.rejectionLimit().isInForce() || hasRoomWithoutWait(u));
        }
        EngineSpec e = inputs.engine().get();
        return u.requestsExceptOwnWaiting() < e.slots()
                && u.totalTokens() + inputs.request().tokens() <= e.memoryTokens()
                && (inputs.answerBegun() || readsSoon(inputs, u));
    }

    /**
     * Returns whether a plain service that fails if it rejects too much can begin the request at
     * once. The loads of other instances are known with a delay, so each has its part of the slots.
     */
    private static boolean hasRoomWithoutWait(UpstreamState u) {
        int slots = u.upstreamRecord().slots();
        return u.ownRequests() < u.rejectionLimit().placesForEach(slots)
                && u.totalRequests() < slots;
    }

    /**
     * Returns whether the engine reads the prompts that were sent before soon enough. The less of
     * its target a request has left, the less busy an engine must be to get it, since a request
     * that will be late anyway must not delay others that can still meet their targets. The average
     * prompt stands for that of the request, so that large ones are not refused more often. A wait
     * for an adapter does not count, since the engine reads other prompts in the meantime.
     */
    private static boolean readsSoon(ChoiceInputs inputs, UpstreamState u) {
        double targetMs = inputs.request().target().toMillis();
        double spareMs =
                targetMs * (1 - TARGET_MARGIN)
                        - inputs.age().toMillis()
                        - inputs.promptReadTime().averagePromptMs();
        double limitMs =
                Math.max(
                        targetMs * MIN_BACKLOG_FRACTION,
                        Math.min(targetMs * MAX_BACKLOG_FRACTION, spareMs));
        return inputs.promptReadTime().expectedMs(u.totalUnreadTokens()) <= limitMs;
    }
}
