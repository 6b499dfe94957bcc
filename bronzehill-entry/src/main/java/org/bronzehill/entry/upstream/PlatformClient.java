package org.bronzehill.entry.upstream;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Manifest;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.Input;
import org.jboss.logging.Logger;

/**
 * HTTP client of the platform's configuration service and instance list. Each may be published at
 * several addresses. A read of the list or of a manifest uses one address; if it fails, the next
 * read uses the next address. While the core has no configuration, the manifests are read from all
 * addresses at once instead.
 */
public final class PlatformClient {

    private static final Logger LOG = Logger.getLogger(PlatformClient.class);

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
    private static final int NOT_MODIFIED = 304;

    private final EventLoopGroup loops;
    private final ReadConnectionPool readConnections;
    private final List<URI> configurationUris;
    private final List<URI> listUris;
    private final InputSink inputs;
    private final InstanceListCache listCache = new InstanceListCache();
    private final AtomicInteger configurationIndex = new AtomicInteger();
    private final AtomicInteger listIndex = new AtomicInteger();
    private volatile LoadedShards loadedShards = new LoadedShards(0, Set.of());

    /**
     * Shards of the core's configuration that need not be read again.
     *
     * @param number number of the configuration; 0 for none
     * @param shards hashes of the shards; empty if the core received the configuration from a peer,
     *     because its shards are then unknown here
     */
    private record LoadedShards(long number, Set<String> shards) {}

    private PlatformClient(
            EventLoopGroup loops,
            List<URI> configurationUris,
            List<URI> listUris,
            InputSink inputs) {
        this.loops = loops;
        this.readConnections = ReadConnectionPool.create(loops.next());
        this.configurationUris = configurationUris;
        this.listUris = listUris;
        this.inputs = inputs;
    }

    /** Creates a client that reports to the core through {@code inputs}. */
    public static PlatformClient create(
            EventLoopGroup loops,
            List<URI> configurationUris,
            List<URI> listUris,
            InputSink inputs) {
        return new PlatformClient(
                loops, List.copyOf(configurationUris), List.copyOf(listUris), inputs);
    }

    /**
     * Reads the configuration. An instance without a configuration reads all addresses and uses the
     * highest number; otherwise one address is read, or watched with a long poll.
     *
     * @param haveNumber number of the core's configuration; 0 for none
     * @param maxWait longest wait of the long poll; zero for an immediate response
     */
    public void readConfiguration(long haveNumber, Duration maxWait) {
        if (haveNumber != loadedShards.number()) {
            // The core received this number from a peer, so its shards are unknown here.
            loadedShards = new LoadedShards(haveNumber, Set.of());
        }
        if (haveNumber == 0 && configurationUris.size() > 1) {
            readHighestManifest();
            return;
        }
        URI serverUri = currentUri(configurationUris, configurationIndex);
        readManifest(
                serverUri,
                haveNumber,
                maxWait,
                manifest -> readShards(serverUri, manifest),
                reason -> {
                    configurationIndex.incrementAndGet();
                    inputs.accept(new Input.ConfigurationReadFailed(reason));
                });
    }

    private void readHighestManifest() {
        HighestManifestSelector highest =
                new HighestManifestSelector(
                        configurationUris.size(),
                        this::readShards,
                        reason -> inputs.accept(new Input.ConfigurationReadFailed(reason)));
        for (URI serverUri : configurationUris) {
            readManifest(
                    serverUri,
                    0,
                    Duration.ZERO,
                    manifest -> highest.addManifest(serverUri, manifest),
                    highest::addFailure);
        }
    }

    private void readManifest(
            URI serverUri,
            long haveNumber,
            Duration maxWait,
            Consumer<Manifest> onManifest,
            Consumer<String> onFailed) {
        URI uri =
                serverUri.resolve(
                        "/v1/manifest?have=" + haveNumber + "&wait_ms=" + maxWait.toMillis());
        HttpListener collector =
                collector(
                        response -> {
                            if (response.status() == NOT_MODIFIED) {
                                onManifest.accept(new Manifest(haveNumber, "", List.of()));
                                return;
                            }
                            Either<String, Manifest> manifest =
                                    response.status() == 200
                                            ? ImageCodec.decodeManifest(response.body())
                                            : Either.left(
                                                    uri + " answered status " + response.status());
                            manifest.peek(onManifest).peekLeft(onFailed);
                        },
                        onFailed);
        HttpCall call = HttpCall.get(uri, READ_TIMEOUT.plus(maxWait));
        if (maxWait.isZero()) {
            readConnections.read(call, collector);
        } else {
            // On a reused connection, a waiting long poll could not be distinguished from a
            // connection that has stopped delivering data.
            HttpExchange.prepare(call, collector, loops.next()).begin();
        }
    }

    private void readShards(URI serverUri, Manifest manifest) {
        Set<String> required = new HashSet<>(manifest.shards());
        if (!manifest.base().isEmpty()) {
            required.add(manifest.base());
        }
        Set<String> missing = new HashSet<>(required);
        missing.removeAll(loadedShards.shards());
        Map<String, byte[]> content = new HashMap<>();
        if (missing.isEmpty()) {
            inputs.accept(new Input.ConfigurationRead(new ConfigurationImage(manifest, content)));
            return;
        }
        ShardCollector collector =
                new ShardCollector(
                        missing,
                        all -> {
                            loadedShards =
                                    new LoadedShards(manifest.number(), Set.copyOf(required));
                            inputs.accept(
                                    new Input.ConfigurationRead(
                                            new ConfigurationImage(manifest, all)));
                        },
                        reason -> inputs.accept(new Input.ConfigurationReadFailed(reason)));
        for (String hash : missing) {
            get(
                    serverUri.resolve("/v1/shards/" + hash),
                    READ_TIMEOUT,
                    response -> collector.onResponse(hash, response),
                    collector::onFailure);
        }
    }

    /** Reads the instance list; a failure is only logged, because the list is read regularly. */
    public void readInstanceList(Consumer<InstanceList> onRead) {
        URI uri = currentUri(listUris, listIndex).resolve("/v1/instances");
        get(
                uri,
                READ_TIMEOUT,
                response ->
                        listCache
                                .parse(response.body())
                                .peek(onRead)
                                .peekLeft(reason -> onListReadFailed(uri, reason)),
                reason -> onListReadFailed(uri, reason));
    }

    private void onListReadFailed(URI uri, String reason) {
        listIndex.incrementAndGet();
        LOG.debugf("cannot read the instance list at %s: %s", uri, reason);
    }

    private static URI currentUri(List<URI> uris, AtomicInteger index) {
        return uris.get(Math.floorMod(index.get(), uris.size()));
    }

    private void get(
            URI uri,
            Duration timeout,
            Consumer<BodyCollector.Response> onResponse,
            Consumer<String> onFailed) {
        readConnections.read(HttpCall.get(uri, timeout), collector(onResponse, onFailed));
    }

    private static HttpListener collector(
            Consumer<BodyCollector.Response> onResponse, Consumer<String> onFailed) {
        return BodyCollector.create(
                onResponse, (FailureReason reason, String detail) -> onFailed.accept(detail));
    }
}
