package org.bronzehill.core.node;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.core.admission.OverloadPolicy;
import org.bronzehill.core.admission.RetryBudget;
import org.bronzehill.core.budget.StoreBudget;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.engine.CrashHistory;
import org.bronzehill.core.engine.LeaseOperations;
import org.bronzehill.core.engine.SchedulerContext;
import org.bronzehill.core.engine.StorePermits;
import org.bronzehill.core.lease.LeaseManager;
import org.bronzehill.core.lease.Resources;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.PauseDetector;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.onceonly.ActManager;
import org.bronzehill.core.onceonly.ClusterView;
import org.bronzehill.core.placement.HolderDirectory;
import org.bronzehill.core.placement.Router;
import org.bronzehill.core.spread.ConfigurationPropagator;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.Envelope;

/** The components of one decision core, wired together. */
final class CoreComponents {

    private final CoreContext context;
    private final ConfigurationStore configurationStore = ConfigurationStore.create();
    private final EffectEnricher effectEnricher;
    private final PauseDetector pauseDetector;
    private final LeaseManager leases;
    private final StoreBudget budget;
    private final ConfigurationPropagator propagator;
    private final Router router;
    private final LeasedEngines engines;
    private final DispatchReceiver dispatches;
    private final ModelRequests modelRequests;
    private final ServiceRequests serviceRequests;
    private final ActManager acts;
    private final SummaryTable summaries;
    private final SummaryPublisher publisher;
    private final ReportSchedule reports;
    private final InstanceListSchedule listSchedule;
    private final DrainSequence drain;
    private final StatusCollector statusCollector;
    private final Gauges gauges;

    private CoreComponents(EntrySettings settings, TimeSource time, RandomGenerator random) {
        Supplier<Configuration> configuration = configurationStore::current;
        Membership membership = Membership.create(settings.self(), time, random);
        IdSequence ids = IdSequence.create();
        LeaseEventDispatcher listener = new LeaseEventDispatcher();
        effectEnricher = new EffectEnricher(membership, configuration);
        pauseDetector = PauseDetector.create(time, settings.pauseLimit());
        leases = LeaseManager.create(membership, configuration, time, listener);
        propagator = ConfigurationPropagator.create(membership, configurationStore, time, random);
        context =
                new CoreContext(
                        settings,
                        time,
                        ids,
                        membership,
                        configuration,
                        CrashRegistry.create(
                                settings.self().id(), () -> liveInstances(membership), time),
                        RetryBudget.create(),
                        OverloadPolicy.create(time),
                        new ReadinessState(
                                () -> propagator.caughtUp() && !membership.superseded(),
                                this::anyEngineReachable));
        budget = StoreBudget.create(leases, membership, configuration, time, this::onPermit);
        router = Router.create(HolderDirectory.of(membership, leases), configuration, time, random);
        statusCollector = new StatusCollector(context, leases);
        AttemptResultForwarder resultForwarder = new AttemptResultForwarder(context);
        engines = new LeasedEngines(context, schedulerContext(resultForwarder), resultForwarder);
        listener.bind(engines, budget);
        AccessCheck access = new AccessCheck(configuration);
        modelRequests =
                new ModelRequests(context, access, router, new AttemptSender(context, engines));
        resultForwarder.bind(modelRequests);
        dispatches = new DispatchReceiver(context, engines, resultForwarder);
        ClusterView clusterView = ClusterView.of(membership);
        serviceRequests = new ServiceRequests(context, access, clusterView);
        acts = ActManager.create(clusterView, time, ids, serviceRequests::onActResult);
        serviceRequests.bind(acts);
        summaries = new SummaryTable(time);
        publisher = new SummaryPublisher(context, engines.active(), this::onOwnSummaries);
        reports = new ReportSchedule(context, engines, publisher);
        listSchedule = new InstanceListSchedule(context);
        gauges = new Gauges(context, engines, leases);
        drain = new DrainSequence(context, engines, leases, budget, acts, this::openRequestCount);
    }

    static CoreComponents create(EntrySettings settings, TimeSource time, RandomGenerator random) {
        return new CoreComponents(settings, time, random);
    }

    private SchedulerContext schedulerContext(AttemptResultForwarder resultForwarder) {
        return new SchedulerContext(
                LeaseOperations.of(leases),
                StorePermits.of(budget),
                context.configurationSupplier(),
                context.time(),
                context.ids(),
                CrashHistory.of(context.crashes()),
                router,
                resultForwarder);
    }

    private static List<String> liveInstances(Membership membership) {
        return membership.peers().stream().filter(p -> p.status().isLive()).map(Peer::id).toList();
    }

    /**
     * Returns whether, for at least one engine of the region, the lease holder is reachable or a
     * majority of the grantors is live, so that a holder can be determined. Returns true if no
     * engine is listed.
     */
    private boolean anyEngineReachable() {
        List<Upstream> listed =
                context.membership().list().upstreams().stream()
                        .filter(u -> u.kind() == UpstreamKind.ENGINE)
                        .filter(u -> u.region().equals(context.settings().self().region()))
                        .toList();
        HolderDirectory holders = HolderDirectory.of(context.membership(), leases);
        return listed.isEmpty()
                || listed.stream()
                        .anyMatch(
                                u ->
                                        leases.majorityReachable(Resources.engine(u.id()))
                                                || leases.holderOf(Resources.engine(u.id()))
                                                        .exists(holders::isReachable));
    }

    private void onPermit(String engine, long sequence, Effects out) {
        engines.onPermit(engine, sequence, out);
    }

    /**
     * Returns the number of open requests of this instance's callers, plus the number of requests
     * that peers have forwarded here and that wait for a newer configuration. The latter are not
     * part of {@link CoreStatus.Counts#openRequests}. {@code LeasedEngines.inFlight} counts the
     * requests at the leased engines.
     */
    private int openRequestCount() {
        return modelRequests.size() + serviceRequests.size() + dispatches.size();
    }

    void onTick(Effects out) {
        membership().onTick(out);
        leases.onTick(out);
        propagator.onTick(out);
        budget.onTick(out);
        listSchedule.onTick(out);
        context.crashes().onTick(out);
        dispatches.onTick(out);
        engines.onTick(out);
        modelRequests.onTick(out);
        serviceRequests.onTick(out);
        acts.onTick(out);
        reports.onTick(out);
        double limit = Math.max(1, context.configuration().limits().openRequests());
        context.overload().update(modelRequests.size() / limit);
        context.readiness().update(out);
        drain.onTick(out);
        gauges.onTick(out);
    }

    void onInstanceList(InstanceList list, Effects out) {
        membership().onInstanceList(list, out);
        engines.onInstanceList(membership().list(), out);
        router.onInstanceList(membership().list());
        summaries.retain(membership().list().upstreams().stream().map(Upstream::id).toList());
        leases.onInstanceList(membership().list(), out);
        listSchedule.onListRead();
        context.readiness().onListRead();
    }

    void onSummaries(Envelope envelope, Effects out) {
        applySummaries(summaries.accept(envelope.getFrom(), envelope.getEngineSummaries(), out));
    }

    private void onOwnSummaries(EngineSummaries message) {
        message.getSummariesList().forEach(summaries::put);
        applySummaries(message);
    }

    private void applySummaries(EngineSummaries complete) {
        complete.getSummariesList()
                .forEach(s -> leases.observeHolder(Resources.engine(s.getEngine()), s.getHolder()));
        router.onSummaries(complete);
        statusCollector.onSummaries(complete);
    }

    void onSummariesRequest(Envelope envelope, Effects out) {
        publisher.onRequest(envelope, out);
    }

    CoreStatus status() {
        return statusCollector.collect(
                propagator.serviceAge(),
                configurationStore.staleImages(),
                new CoreStatus.Counts(
                        modelRequests.size() + serviceRequests.size(),
                        engines.inFlight() + dispatches.size(),
                        acts.inFlight(),
                        membership().list().version()));
    }

    CoreContext context() {
        return context;
    }

    Membership membership() {
        return context.membership();
    }

    EffectEnricher effectEnricher() {
        return effectEnricher;
    }

    PauseDetector pauseDetector() {
        return pauseDetector;
    }

    LeaseManager leases() {
        return leases;
    }

    StoreBudget budget() {
        return budget;
    }

    ConfigurationPropagator propagator() {
        return propagator;
    }

    Router router() {
        return router;
    }

    LeasedEngines engines() {
        return engines;
    }

    DispatchReceiver dispatches() {
        return dispatches;
    }

    ModelRequests modelRequests() {
        return modelRequests;
    }

    ServiceRequests serviceRequests() {
        return serviceRequests;
    }

    ActManager acts() {
        return acts;
    }

    ReportSchedule reports() {
        return reports;
    }

    InstanceListSchedule listSchedule() {
        return listSchedule;
    }

    DrainSequence drain() {
        return drain;
    }
}
