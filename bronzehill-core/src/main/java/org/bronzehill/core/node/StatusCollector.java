package org.bronzehill.core.node;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.lease.Lease;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;

/** Builds the status view of the decision core. */
final class StatusCollector {

    private final CoreContext context;
    private final LeaseManager leases;
    private final Map<String, EngineSummary> summaries = new HashMap<>();

    StatusCollector(CoreContext context, LeaseManager leases) {
        this.context = context;
        this.leases = leases;
    }

    /** Stores the latest summary of each listed engine. */
    void onSummaries(EngineSummaries message) {
        message.getSummariesList().forEach(s -> summaries.put(s.getEngine(), s));
        List<String> listed =
                context.membership().list().upstreams().stream().map(Upstream::id).toList();
        summaries.keySet().retainAll(listed);
    }

    CoreStatus collect(Duration age, long staleReads, CoreStatus.Counts counts) {
        Configuration current = context.configuration();
        return new CoreStatus(
                context.selfId(),
                context.settings().self().incarnation(),
                context.readiness().phase(),
                context.readiness().reason(),
                new CoreStatus.ConfigurationView(
                        current.number(),
                        age,
                        staleReads,
                        current.adapters().count(),
                        current.limits()),
                context.membership().peers().stream().map(StatusCollector::peer).toList(),
                context.membership().list().upstreams().stream().map(this::upstream).toList(),
                counts);
    }

    private static CoreStatus.PeerView peer(Peer p) {
        return new CoreStatus.PeerView(
                p.id(),
                p.ref().incarnation(),
                p.ref().host() + ':' + p.ref().port(),
                p.ref().dataCentre(),
                p.status().name());
    }

    private CoreStatus.UpstreamView upstream(Upstream u) {
        boolean engine = u.kind() == UpstreamKind.ENGINE;
        String resource = Resources.engine(u.id());
        Option<Lease> lease = engine ? leases.lease(resource) : Option.none();
        EngineSummary s = summaries.getOrDefault(u.id(), EngineSummary.getDefaultInstance());
        List<CoreStatus.AdapterView> adapters = new ArrayList<>();
        s.getAdaptersList()
                .forEach(
                        a ->
                                adapters.add(
                                        new CoreStatus.AdapterView(
                                                a.getAdapter(),
                                                a.getVersion(),
                                                a.getLoading(),
                                                a.getRunning(),
                                                a.getWaiting())));
        return new CoreStatus.UpstreamView(
                u.id(),
                u.kind().name(),
                u.state().name(),
                u.dataCentre(),
                engine ? leases.holderOf(resource).getOrElse("") : "",
                lease.map(Lease::fencing).getOrElse(0L),
                s.getRunning(),
                s.getQueued(),
                adapters);
    }
}
