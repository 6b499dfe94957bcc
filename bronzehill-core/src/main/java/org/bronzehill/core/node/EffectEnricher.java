package org.bronzehill.core.node;

import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Completes the components' effects before they leave the core: fills in the header of envelopes,
 * and adds the description that precedes each attempt.
 */
final class EffectEnricher implements Effects {

    private final Membership membership;
    private final Supplier<Configuration> configuration;
    private Effects target = effect -> {};

    EffectEnricher(Membership membership, Supplier<Configuration> configuration) {
        this.membership = membership;
        this.configuration = configuration;
    }

    /** Sets the collector for the effects of the next input, and returns this object. */
    Effects withTarget(Effects newTarget) {
        target = newTarget;
        return this;
    }

    @Override
    public void add(Effect effect) {
        if (effect instanceof Effect.SendPeer send) {
            fillHeader(send.instance(), send.envelope());
        } else if (effect instanceof Effect.StartAttempt start) {
            target.add(describe(start));
        }
        target.add(effect);
    }

    private void fillHeader(String instance, Envelope.Builder envelope) {
        envelope.setFrom(membership.self().id())
                .setFromIncarnation(membership.self().incarnation())
                .setTo(instance)
                .setToIncarnation(
                        membership.peer(instance).map(p -> p.ref().incarnation()).getOrElse(0L))
                .setConfigurationNumber(configuration.get().number())
                .setListVersion(membership.list().version());
    }

    private Effect.DescribeAttempt describe(Effect.StartAttempt start) {
        AdapterVersion adapter = AdapterVersion.ofHandle(start.handle());
        return new Effect.DescribeAttempt(
                start.attemptId(),
                new Provenance(
                        adapter == null ? "" : adapter.adapter(),
                        adapter == null ? 0 : adapter.version(),
                        configuration.get().number(),
                        start.engine(),
                        membership.self().id()));
    }
}
