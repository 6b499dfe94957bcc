package org.bronzehill.entry.upstream;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.node.FailureReason;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests the failure reasons of calls to upstreams and the parsing of server-sent events. */
public class HttpExchangeTest {

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterClass
    public void close() {
        loops.shutdownGracefully();
    }

    private CompletableFuture<FailureReason> call(int port, Duration idleTimeout) {
        CompletableFuture<FailureReason> failure = new CompletableFuture<>();
        HttpCall call =
                new HttpCall(
                        "GET",
                        URI.create("http://127.0.0.1:" + port + "/x"),
                        Map.of(),
                        new byte[0],
                        idleTimeout,
                        Duration.ofSeconds(20));
        HttpExchange.prepare(
                        call,
                        BodyCollector.create(
                                response -> failure.complete(null),
                                (reason, detail) -> failure.complete(reason)),
                        loops.next())
                .begin();
        return failure;
    }

    private static ServerSocket listen() throws Exception {
        return new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"));
    }

    /**
     * Guards against reporting "may have run" for a refused connection, where nothing was written.
     */
    @Test
    public void reportsARefusedConnectionAsNotSent() throws Exception {
        int port;
        try (ServerSocket closed = listen()) {
            port = closed.getLocalPort();
        }
        assertEquals(call(port, Duration.ofSeconds(5)).get(), FailureReason.NOT_SENT);
    }

    /**
     * Guards against reporting "not run" when the upstream closes the connection after it has read
     * the request.
     */
    @Test
    public void reportsAClosedConnectionAsBroken() throws Exception {
        try (ServerSocket server = listen()) {
            CompletableFuture<FailureReason> failure =
                    call(server.getLocalPort(), Duration.ofSeconds(5));
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
                                        .getBytes(StandardCharsets.US_ASCII));
            }
            assertEquals(failure.get(), FailureReason.BROKEN);
        }
    }

    /** Guards against a call that hangs on an open connection without data. */
    @Test
    public void reportsASilentConnectionAfterTheIdleTimeout() throws Exception {
        try (ServerSocket server = listen()) {
            CompletableFuture<FailureReason> failure =
                    call(server.getLocalPort(), Duration.ofMillis(100));
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                assertEquals(failure.get(), FailureReason.SILENT);
            }
        }
    }

    /** Guards against events that are lost or joined when TCP segments split them at any byte. */
    @Test
    public void parsesEventsSplitAtAnyByte() {
        byte[] body =
                "data: {\"a\":1}\n\ndata:{\"b\":2}\r\n\r\n: comment\n\ndata: [DONE]\n\n"
                        .getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= body.length; cut++) {
            List<String> events = new ArrayList<>();
            ServerSentEventParser parser =
                    new ServerSentEventParser(
                            e -> events.add(new String(e, StandardCharsets.UTF_8)));
            parser.parse(Arrays.copyOfRange(body, 0, cut));
            parser.parse(Arrays.copyOfRange(body, cut, body.length));
            assertEquals(events, List.of("{\"a\":1}", "{\"b\":2}", "[DONE]"));
        }
    }
}
