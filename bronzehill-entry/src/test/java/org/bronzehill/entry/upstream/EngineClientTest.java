package org.bronzehill.entry.upstream;

import static org.testng.Assert.assertEquals;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bronzehill.core.model.CacheEvents;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.node.Input;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests reads from an engine over HTTP. */
public class EngineClientTest {

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterClass
    public void close() {
        loops.shutdownGracefully();
    }

    /**
     * Guards against a wrong path or sequence number, and against negative or large hashes that are
     * parsed to other values.
     */
    @Test
    public void readsCacheEvents() throws Exception {
        Set<String> queries = ConcurrentHashMap.newKeySet();
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 4);
        server.createContext(
                "/v1/cache_events",
                exchange -> {
                    queries.add(exchange.getRequestURI().getQuery());
                    byte[] body =
                            ("{\"events\":[{\"sequence\":9,\"stored\":[-5],"
                                            + "\"removed\":[9007199254740993]}]}")
                                    .getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        server.start();
        try {
            BlockingQueue<Input> inputs = new LinkedBlockingQueue<>();
            UpstreamUris uris = new UpstreamUris();
            uris.update(list(URI.create("http://127.0.0.1:" + server.getAddress().getPort())));
            EngineClient client = EngineClient.create(loops, uris, inputs::add);
            Input read = null;
            // On a busy host, a read may exceed its timeout, and a failed read reports nothing.
            for (int i = 0; i < 10 && read == null; i++) {
                client.readCacheEvents("engine-1", 7);
                read = inputs.poll(2, TimeUnit.SECONDS);
            }
            CacheEvents.Event event =
                    new CacheEvents.Event(9, List.of(-5L), List.of(9_007_199_254_740_993L));
            assertEquals(
                    read,
                    new Input.CacheEventsRead(new CacheEvents("engine-1", 7, List.of(event))));
            assertEquals(queries, Set.of("after=7"));
        } finally {
            server.stop(0);
        }
    }

    private static InstanceList list(URI uri) {
        Upstream engine =
                new Upstream(
                        "engine-1",
                        UpstreamKind.ENGINE,
                        uri,
                        "dc-1",
                        "r-1",
                        ListedState.LIVE,
                        new Upstream.EngineProperties("base", 8, 8),
                        true,
                        Set.of());
        return new InstanceList(1, List.of(), List.of(engine));
    }
}
