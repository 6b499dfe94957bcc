package org.bronzehill.entry;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.EntryCore;
import org.bronzehill.core.node.EntrySettings;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.SystemTimeSource;
import org.bronzehill.entry.http.Gateway;
import org.bronzehill.entry.http.StatusPages;
import org.bronzehill.entry.peer.PeerAddresses;
import org.bronzehill.entry.peer.PeerLinks;
import org.bronzehill.entry.peer.PeerServer;
import org.bronzehill.entry.relay.SinkTable;
import org.bronzehill.entry.runtime.CoreThread;
import org.bronzehill.entry.runtime.EffectRunner;
import org.bronzehill.entry.runtime.InputRecorder;
import org.bronzehill.entry.runtime.PeerInbox;
import org.bronzehill.entry.runtime.Readiness;
import org.bronzehill.entry.settings.ProgramSettings;
import org.bronzehill.entry.telemetry.AuditLog;
import org.bronzehill.entry.telemetry.Metrics;
import org.bronzehill.entry.telemetry.Tracing;
import org.bronzehill.entry.upstream.ApplicationRunnerClient;
import org.bronzehill.entry.upstream.EngineClient;
import org.bronzehill.entry.upstream.InputSink;
import org.bronzehill.entry.upstream.PlatformClient;
import org.bronzehill.entry.upstream.UpstreamUris;
import org.jboss.logging.Logger;

/** One entry instance: creates and connects the transports, the core thread and the HTTP server. */
public final class EntryProcess {

    private static final Logger LOG = Logger.getLogger(EntryProcess.class);

    private static final int EVENT_LOOP_THREADS = 2;
    private static final int AUDIT_RING_CAPACITY = 16_384;
    private static final int INCARNATION_RANDOM_BITS = 16;

    /** Largest request body that the HTTP server reads; the core enforces the configured limit. */
    private static final String MAX_REQUEST_SIZE = "6MB";

    /** Time for the sockets to send the last bytes of answers and messages. */
    private static final long SOCKET_FLUSH_MS = 300;

    private final ProgramSettings settings;
    private final Metrics metrics = Metrics.create();
    private final Readiness readiness = new Readiness();
    private final Tracing tracing;
    private final AuditLog audit;
    private final EventLoopGroup loops;
    private final SinkTable sinks;
    private final PeerLinks links;
    private final PeerServer peerServer;
    private final CoreThread core;
    private final InputRecorder recorder;
    private final EmbeddedServer http;
    private final long incarnation;

    private EntryProcess(ProgramSettings settings) throws IOException {
        this.settings = settings;
        RandomGenerator random = new SecureRandom();
        incarnation =
                (System.currentTimeMillis() << INCARNATION_RANDOM_BITS)
                        | random.nextInt(1 << INCARNATION_RANDOM_BITS);
        String id = settings.identity().id();
        tracing =
                Tracing.create(
                        id, settings.spanExport().exporter(), settings.spanExport().endpoint());
        audit = AuditLog.start(id, AUDIT_RING_CAPACITY);
        loops =
                new MultiThreadIoEventLoopGroup(
                        EVENT_LOOP_THREADS,
                        new DefaultThreadFactory("transport"),
                        NioIoHandler.newFactory());
        RelayEventHandler relay = new RelayEventHandler(metrics, tracing, audit);
        sinks = SinkTable.create(relay, settings.bounds().openRequests());
        PeerInbox inbox = PeerInbox.create(sinks, tracing);
        PeerAddresses addresses = new PeerAddresses();
        links = PeerLinks.create(loops, addresses, inbox, settings.bounds().peerQueue());
        peerServer = PeerServer.create(loops, inbox);
        InetSocketAddress peerAddress =
                peerServer.listen(settings.ports().host(), settings.ports().peer());
        EntryCore entryCore =
                EntryCore.create(coreSettings(peerAddress), SystemTimeSource.instance(), random);
        core = createCoreThread(entryCore, addresses, relay, inbox);
        recorder = openRecorder(entryCore);
        http = createHttpServer();
    }

    /**
     * Opens the recorder of the core's inputs for replay; returns null if no recording file is
     * configured.
     */
    private InputRecorder openRecorder(EntryCore entryCore) throws IOException {
        ProgramSettings.Recording recordingSettings = settings.recording();
        if (recordingSettings.file().isEmpty()) {
            return null;
        }
        InputRecorder opened =
                InputRecorder.open(
                        Path.of(recordingSettings.file()),
                        settings.identity().id(),
                        recordingSettings.deployment().name().toLowerCase(Locale.ROOT),
                        entryCore::configuration,
                        SystemTimeSource.instance());
        core.setObserver(opened);
        return opened;
    }

    private CoreThread createCoreThread(
            EntryCore entryCore,
            PeerAddresses addresses,
            RelayEventHandler relay,
            PeerInbox inbox) {
        LateBoundInputSink inputs = new LateBoundInputSink(tracing);
        UpstreamUris uris = new UpstreamUris();
        EffectRunner effects =
                EffectRunner.create(
                        new EffectRunner.Transports(
                                settings.identity().id(),
                                addresses,
                                links,
                                uris,
                                EngineClient.create(loops, uris, inputs),
                                ApplicationRunnerClient.create(loops, uris, inputs),
                                PlatformClient.create(
                                        loops,
                                        settings.configurationUris(),
                                        settings.instanceListUris(),
                                        inputs)),
                        sinks,
                        metrics,
                        tracing,
                        readiness);
        CoreThread thread =
                CoreThread.create(
                        settings.bounds().ringSize(),
                        entryCore,
                        effects,
                        metrics::inputLost,
                        this::failRequest);
        inputs.bind(thread);
        effects.bind(thread);
        inbox.bind(thread);
        relay.bind(thread);
        return thread;
    }

    /** Fails a request whose handling threw an exception, so that its caller receives an answer. */
    private void failRequest(Object input) {
        if (input instanceof Input.ModelRequested i) {
            sinks.fail(i.request().requestId(), ResultCode.INTERNAL);
        } else if (input instanceof Input.ServiceRequested i) {
            sinks.fail(i.request().requestId(), ResultCode.INTERNAL);
        }
    }

    private EntrySettings coreSettings(InetSocketAddress peerAddress) {
        EntrySettings defaults =
                EntrySettings.of(
                        new InstanceRef(
                                settings.identity().id(),
                                incarnation,
                                settings.ports().host(),
                                peerAddress.getPort(),
                                settings.identity().dataCentre(),
                                settings.identity().region()));
        return new EntrySettings(
                defaults.self(),
                defaults.maxAttempts(),
                defaults.pauseLimit(),
                defaults.listInterval(),
                settings.hedgeAfter());
    }

    private EmbeddedServer createHttpServer() {
        ApplicationContext context =
                ApplicationContext.builder()
                        .properties(
                                Map.of(
                                        "micronaut.server.host",
                                        settings.ports().host(),
                                        "micronaut.server.port",
                                        settings.ports().http(),
                                        "micronaut.server.max-request-size",
                                        MAX_REQUEST_SIZE,
                                        "micronaut.server.netty.server-type",
                                        "full_content",
                                        "jackson.serialization-inclusion",
                                        "ALWAYS",
                                        "endpoints.all.enabled",
                                        false))
                        .banner(false)
                        .build();
        context.registerSingleton(
                Gateway.create(settings.identity().id(), incarnation, core, sinks, audit, tracing));
        context.registerSingleton(settings.http());
        context.registerSingleton(readiness);
        context.registerSingleton(metrics);
        context.registerSingleton(
                StatusPages.create(
                        core,
                        Map.of(
                                "ring", core::queued,
                                "peerLinks", links::queued,
                                "answers", sinks::size,
                                "spans", tracing::openSpans),
                        () -> core.accept(new Input.DrainRequested())));
        context.start();
        return context.getBean(EmbeddedServer.class);
    }

    /** Starts an instance; its core decides when it becomes ready. */
    public static EntryProcess start(ProgramSettings settings) throws IOException {
        EntryProcess process = new EntryProcess(settings);
        process.registerMetrics();
        process.core.start();
        process.http.start();
        LOG.infof(
                "instance %s listens on port %d for callers",
                settings.identity().id(), process.http.getPort());
        return process;
    }

    private void registerMetrics() {
        metrics.gauge("ring_inputs", "Inputs that wait for the core", core::queued);
        metrics.gauge("peer_link_messages", "Messages that wait for peers", links::queued);
        metrics.counter("peer_sent_bytes", "Bytes sent to peers", links::sentBytes);
        metrics.counter(
                "peer_received_bytes", "Bytes received from peers", peerServer::receivedBytes);
        metrics.gauge("open_answers", "Answers in progress", sinks::size);
    }

    /** Returns the port for callers. */
    public int httpPort() {
        return http.getPort();
    }

    /** Returns a future that completes when a graceful shutdown is complete. */
    public CompletableFuture<Void> whenDrained() {
        return readiness.whenDrained();
    }

    /**
     * Waits for the requests in flight and then for the delivery of their streams, each at most for
     * the drain limit; then closes the instance.
     */
    public void shutDown() {
        core.accept(new Input.DrainRequested());
        try {
            readiness.whenDrained().get(settings.drainLimit().toMillis(), TimeUnit.MILLISECONDS);
            LOG.infof("instance %s has finished all requests", settings.identity().id());
        } catch (TimeoutException e) {
            LOG.errorf(
                    "graceful shutdown exceeded its limit of %d ms; %d answers are cut off",
                    settings.drainLimit().toMillis(), sinks.size());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            LOG.error("graceful shutdown failed", e);
        }
        awaitFlush();
        close();
    }

    private void awaitFlush() {
        try {
            long end = System.nanoTime() + settings.drainLimit().toNanos();
            while (sinks.streamsInDelivery() > 0 && System.nanoTime() - end < 0) {
                Thread.sleep(10);
            }
            Thread.sleep(SOCKET_FLUSH_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the instance without waiting for requests. */
    public void close() {
        http.stop();
        core.close();
        closeRecorder();
        links.close();
        peerServer.close();
        audit.close();
        try {
            tracing.close();
        } catch (Exception e) {
            LOG.warn("cannot close the span exporter; spans may be lost", e);
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private void closeRecorder() {
        if (recorder != null) {
            try {
                recorder.close();
            } catch (IOException e) {
                LOG.warn("cannot close the trace file; the end of the trace may be lost", e);
            }
        }
    }

    /**
     * Passes the inputs of the upstream clients to the core thread, which is created after them.
     * Also ends the spans of attempts.
     */
    private static final class LateBoundInputSink implements InputSink {
        private final Tracing tracing;
        private volatile InputSink target = input -> {};

        LateBoundInputSink(Tracing tracing) {
            this.tracing = tracing;
        }

        void bind(InputSink newTarget) {
            target = newTarget;
        }

        @Override
        public void accept(Input input) {
            tracing.onInput(input);
            target.accept(input);
        }
    }
}
