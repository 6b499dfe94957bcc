package org.bronzehill.core.forward;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Upstreams to which a request is not sent at present or any more.
 *
 * <p>All attempts of a request have the same identifier. An upstream that repeats an answer may
 * therefore answer a later attempt with its refusal of an earlier one, also on another connection,
 * while it runs the request. A request that must not run twice is not sent again to an upstream
 * that has refused it. The exception is an upstream that lacked the adapter, because the request
 * waits there for the load; if it states once more that the adapter is missing, the request may be
 * running.
 */
final class ExcludedUpstreams {

    private final boolean repeatable;
    private final Set<String> passedOver = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> lackedAdapter = new HashSet<>();

    /**
     * @param repeatable whether the request may run more than once
     */
    ExcludedUpstreams(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** Returns a copy that excludes another upstream as well. */
    ExcludedUpstreams and(UpstreamState upstream) {
        ExcludedUpstreams copy = new ExcludedUpstreams(repeatable);
        copy.passedOver.addAll(passedOver);
        copy.refused.addAll(refused);
        copy.passOver(upstream);
        return copy;
    }

    /** Excludes an upstream until no other one can take the request. */
    void passOver(UpstreamState upstream) {
        passedOver.add(upstream.id());
    }

    /** Ends the exclusion of upstreams that were passed over: they may be able to serve again. */
    void readmitPassedOver() {
        passedOver.clear();
    }

    /**
     * Records an upstream's statement that it has not run the request.
     *
     * @return whether the statement is certain to answer the last attempt
     */
    boolean onNotRun(UpstreamState upstream, NotRunCause cause) {
        if (cause == NotRunCause.REFUSED) {
            passOver(upstream);
        }
        if (repeatable) {
            return true;
        }
        return switch (cause) {
            case REFUSED -> refused.add(upstream.incarnationKey());
            case ADAPTER_MISSING -> lackedAdapter.add(upstream.incarnationKey());
            case MISADDRESSED, NO_UPSTREAM, UNKNOWN_SENDER, FULL -> true;
        };
    }

    /** Returns whether the request may no longer be sent to this incarnation of the upstream. */
    boolean isExcludedForGood(UpstreamState upstream) {
        return !refused.isEmpty() && refused.contains(upstream.incarnationKey());
    }

    /** Returns whether any upstream is excluded for good. */
    boolean anyForGood() {
        return !refused.isEmpty();
    }

    /**
     * Returns whether the request may be sent to one of the upstreams, now or later. Once it has
     * been refused, it does not wait for one that cannot be reached: its caller may come back
     * sooner.
     */
    boolean allowAnyOf(Collection<UpstreamState> upstreams) {
        return upstreams.stream()
                .anyMatch(
                        u -> refused.isEmpty() || !(isExcludedForGood(u) || u.health().isPaused()));
    }

    boolean contains(UpstreamState upstream) {
        return passedOver.contains(upstream.id()) || isExcludedForGood(upstream);
    }
}
