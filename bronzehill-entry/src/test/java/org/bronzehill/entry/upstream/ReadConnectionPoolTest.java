package org.bronzehill.entry.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the reuse and replacement of connections for idempotent reads. */
public class ReadConnectionPoolTest {

    /** Bounds the duration of a test that waits for a connection that is never opened. */
    private static final int SOCKET_TIMEOUT_MS = 20_000;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ReadConnectionPool reads;
    private ServerSocket server;

    @BeforeMethod
    public void listen() throws IOException {
        reads = ReadConnectionPool.create(loops.next());
        server = new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout(SOCKET_TIMEOUT_MS);
    }

    @AfterMethod
    public void closeServer() throws IOException {
        server.close();
    }

    @AfterClass
    public void close() {
        loops.shutdownGracefully();
    }

    private CompletableFuture<String> read(Duration timeout) {
        CompletableFuture<String> result = new CompletableFuture<>();
        URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/x");
        reads.read(
                HttpCall.get(uri, timeout),
                BodyCollector.create(
                        response ->
                                result.complete(
                                        response.status()
                                                + new String(
                                                        response.body(),
                                                        StandardCharsets.US_ASCII)),
                        (reason, detail) -> result.complete(reason.name())));
        return result;
    }

    private static Socket accept(ServerSocket from) throws IOException {
        Socket socket = from.accept();
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        return socket;
    }

    private static void awaitRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection was closed before a request");
            }
            head.append((char) next);
        }
    }

    private static void answer(Socket socket, String body) throws IOException {
        awaitRequest(socket);
        String text = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String get(CompletableFuture<String> result) throws Exception {
        return result.get(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Guards against opening a new connection for each of the frequent report reads. */
    @Test
    public void reusesTheConnection() throws Exception {
        CompletableFuture<String> first = read(Duration.ofSeconds(20));
        try (Socket socket = accept(server)) {
            answer(socket, "a");
            assertEquals(get(first), "200a");
            CompletableFuture<String> second = read(Duration.ofSeconds(20));
            answer(socket, "b");
            assertEquals(get(second), "200b");
        }
    }

    /** Guards against reads that keep failing while an open connection no longer delivers data. */
    @Test
    public void replacesAReusedConnectionThatIsSilent() throws Exception {
        CompletableFuture<String> first = read(Duration.ofSeconds(20));
        try (Socket silent = accept(server)) {
            answer(silent, "a");
            assertEquals(get(first), "200a");
            CompletableFuture<String> second = read(Duration.ofSeconds(2));
            awaitRequest(silent);
            try (Socket fresh = accept(server)) {
                answer(fresh, "b");
                assertEquals(get(second), "200b");
                assertEquals(silent.getInputStream().read(), -1);
            }
        }
    }

    /** Guards against a failed read after each restart of an upstream, which closes connections. */
    @Test
    public void replacesAReusedConnectionThatIsClosed() throws Exception {
        CompletableFuture<String> first = read(Duration.ofSeconds(20));
        CompletableFuture<String> second;
        try (Socket socket = accept(server)) {
            answer(socket, "a");
            assertEquals(get(first), "200a");
            second = read(Duration.ofSeconds(20));
            awaitRequest(socket);
        }
        try (Socket fresh = accept(server)) {
            answer(fresh, "b");
            assertEquals(get(second), "200b");
        }
    }

    /** Guards against endless retries to an upstream that closes every connection. */
    @Test
    public void failsWhenANewConnectionIsClosed() throws Exception {
        CompletableFuture<String> first = read(Duration.ofSeconds(20));
        try (Socket socket = accept(server)) {
            awaitRequest(socket);
        }
        assertEquals(get(first), "BROKEN");
    }

    /** Guards against retrying a call that has an effect. */
    @Test
    public void refusesCallsThatMayHaveAnEffect() {
        Duration limit = Duration.ofSeconds(20);
        HttpCall order =
                new HttpCall(
                        "POST",
                        URI.create("http://127.0.0.1:1/x"),
                        Map.of(),
                        new byte[0],
                        limit,
                        limit);
        assertThrows(
                IllegalArgumentException.class,
                () -> reads.read(order, BodyCollector.create(response -> {}, (r, d) -> {})));
    }
}
