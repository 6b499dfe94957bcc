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
import org.bronzehill.core.engine.LeaseGuard;
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
import org.bronzehill.core.onceonly.ActCoordinator;
import org.bronzehill.core.onceonly.ActPeers;
import org.bronzehill.core.placement.HolderDirectory;
import org.bronzehill.core.placement.Router;
import org.bronzehill.core.spread.ConfigurationPropagator;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.Envelope;

/** The components of one decision core, wired together. */
final class CoreParts {

    private final CoreContext context;
    private final ConfigurationStore store = ConfigurationStore.create();
    private final Outbox outbox;
    private final PauseDetector pauses;
    private final LeaseManager leases;
    private final StoreBudget budget;
    private final ConfigurationPropagator spread;
    private final Router router;
    private final HeldEngines engines;
    private final DispatchReceiver dispatches;
    private final ModelRequests models;
    private final ServiceRequests services;
    private final ActCoordinator acts;
    private final SummaryTable summaries;
    private final SummaryPublisher publisher;
    private final ReportSchedule reports;
    private final PlatformSchedule platform;
    private final DrainSequence drain;
    private final StatusView view;
    private final Gauges gauges;

    private CoreParts(EntrySettings settings, TimeSource time, RandomGenerator random) {
        Supplier<Configuration> inForce = store::current;
        Membership membership = Membership.create(settings.self(), time, random);
        IdSequence ids = IdSequence.create();
        Leases listener = new Leases();
        outbox = new Outbox(membership, inForce);
        pauses = PauseDetector.create(time, settings.pauseLimit());
        leases = LeaseManager.create(membership, inForce, time, listener);
        spread = ConfigurationPropagator.create(membership, store, time, random);
        context =
                new CoreContext(
                        settings,
                        time,
                        ids,
                        membership,
                        inForce,
                        CrashRegistry.create(settings.self().id(), () -> live(membership), time),
                        RetryBudget.create(),
                        OverloadPolicy.create(time),
                        new ReadinessState(
                                () -> spread.caughtUp() && !membership.superseded(),
                                this::reachesEngine));
        budget = StoreBudget.create(leases, membership, inForce, time, this::onPermit);
        router = Router.create(HolderDirectory.of(membership, leases), inForce, time, random);
        view = new StatusView(context, leases);
        EngineReplies replies = new EngineReplies(context);
        engines = new HeldEngines(context, schedulers(replies), replies);
        listener.bind(engines, budget);
        AccessCheck access = new AccessCheck(inForce);
        models = new ModelRequests(context, access, router, new Dispatcher(context, engines));
        replies.bind(models);
        dispatches = new DispatchReceiver(context, engines, replies);
        ActPeers fleet = ActPeers.of(membership);
        services = new ServiceRequests(context, access, fleet);
        acts = ActCoordinator.create(fleet, time, ids, services::onAct);
        services.bind(acts);
        summaries = new SummaryTable(time);
        publisher = new SummaryPublisher(context, engines.held(), this::onOwnSummaries);
        reports = new ReportSchedule(context, engines, publisher);
        platform = new PlatformSchedule(context);
        gauges = new Gauges(context, engines, leases);
        drain = new DrainSequence(context, engines, leases, budget, acts, this::ownRequests);
    }

    static CoreParts create(EntrySettings settings, TimeSource time, RandomGenerator random) {
        return new CoreParts(settings, time, random);
    }

    private SchedulerContext schedulers(EngineReplies replies) {
        return new SchedulerContext(
                LeaseGuard.of(leases),
                StorePermits.of(budget),
                context.inForce(),
                context.time(),
                context.ids(),
                CrashHistory.of(context.crashes()),
                router,
                replies);
    }

    private static List<String> live(Membership membership) {
        return membership.peers().stream().filter(p -> p.status().isLive()).map(Peer::id).toList();
    }

    private boolean reachesEngine() {
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

    /** Returns the number of requests of own callers and of peers that have not ended. */
    private int ownRequests() {
        return models.size() + services.size() + dispatches.size();
    }

    void onTick(Effects out) {
        membership().onTick(out);
        leases.onTick(out);
        spread.onTick(out);
        budget.onTick(out);
        platform.onTick(out);
        context.crashes().onTick(out);
        dispatches.onTick(out);
        engines.onTick(out);
        models.onTick(out);
        services.onTick(out);
        acts.onTick(out);
        reports.onTick(out);
        double limit = Math.max(1, context.configuration().limits().openRequests());
        context.overload().update(models.size() / limit);
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
        platform.onList();
        context.readiness().onListRead();
    }

    void onSummaries(Envelope envelope, Effects out) {
        use(summaries.accept(envelope.getFrom(), envelope.getEngineSummaries(), out));
    }

    private void onOwnSummaries(EngineSummaries message) {
        message.getSummariesList().forEach(summaries::put);
        use(message);
    }

    private void use(EngineSummaries complete) {
        complete.getSummariesList()
                .forEach(s -> leases.observeHolder(Resources.engine(s.getEngine()), s.getHolder()));
        router.onSummaries(complete);
        view.onSummaries(complete);
    }

    void onSummariesRequest(Envelope envelope, Effects out) {
        publisher.onRequest(envelope, out);
    }

    CoreStatus status() {
        return view.view(
                spread.serviceAge(),
                store.staleReads(),
                new CoreStatus.Counts(
                        models.size() + services.size(),
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

    Outbox outbox() {
        return outbox;
    }

    PauseDetector pauses() {
        return pauses;
    }

    LeaseManager leases() {
        return leases;
    }

    StoreBudget budget() {
        return budget;
    }

    ConfigurationPropagator spread() {
        return spread;
    }

    Router router() {
        return router;
    }

    HeldEngines engines() {
        return engines;
    }

    DispatchReceiver dispatches() {
        return dispatches;
    }

    ModelRequests models() {
        return models;
    }

    ServiceRequests services() {
        return services;
    }

    ActCoordinator acts() {
        return acts;
    }

    ReportSchedule reports() {
        return reports;
    }

    PlatformSchedule platform() {
        return platform;
    }

    DrainSequence drain() {
        return drain;
    }
}
