package org.bronzehill.entry.peer;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.bronzehill.protocol.generated.DispatchChunk;
import org.bronzehill.protocol.generated.Envelope;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests links between instances over the loopback interface. */
public class PeerLinksTest {

    private static final String HOST = "127.0.0.1";
    private static final int CAPACITY = 200;

    private final List<Envelope> received = new CopyOnWriteArrayList<>();
    private final List<String> unreachable = new CopyOnWriteArrayList<>();
    private final PeerListener listener =
            new PeerListener() {
                @Override
                public void onMessage(Envelope envelope) {
                    received.add(envelope);
                }

                @Override
                public void onUnreachable(String instance) {
                    unreachable.add(instance);
                }
            };

    private EventLoopGroup loops;
    private PeerServer server;
    private PeerAddresses addresses;
    private PeerLinks links;

    @BeforeMethod
    public void open() {
        received.clear();
        unreachable.clear();
        loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        server = PeerServer.create(loops, listener);
        addresses = new PeerAddresses();
        links = PeerLinks.create(loops, addresses, listener, CAPACITY);
    }

    @AfterMethod
    public void close() {
        links.close();
        server.close();
        loops.shutdownGracefully();
    }

    private static Envelope message(long sequence, int bytes) {
        return Envelope.newBuilder()
                .setFrom("entry-1")
                .setDispatchChunk(
                        DispatchChunk.newBuilder()
                                .setSequence(sequence)
                                .setData(ByteString.copyFrom(new byte[bytes])))
                .build();
    }

    /** Guards against frames that are split, joined or reordered in transit. */
    @Test
    public void deliversMessagesOfAllSizesInOrder() {
        addresses.put("entry-2", HOST, server.listen(HOST, 0).getPort());
        List<Envelope> sent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            sent.add(message(i, i % 10 == 0 ? 300_000 : i));
        }
        sent.forEach(m -> assertTrue(links.send("entry-2", m, false)));
        await().until(() -> received.size() == sent.size());
        assertEquals(received, sent);
        long frames = sent.stream().mapToLong(m -> 4 + m.getSerializedSize()).sum();
        assertEquals(links.sentBytes(), frames);
        assertEquals(server.receivedBytes(), frames);
        assertTrue(unreachable.isEmpty());
    }

    /** Guards against a link that does not reconnect after its peer was restarted. */
    @Test
    public void reconnectsAfterThePeerWasRestarted() {
        InetSocketAddress address = server.listen(HOST, 0);
        addresses.put("entry-2", HOST, address.getPort());
        links.send("entry-2", message(1, 1), false);
        await().until(() -> received.size() == 1);
        server.close();
        await().until(() -> unreachable.contains("entry-2"));
        server = PeerServer.create(loops, listener);
        server.listen(HOST, address.getPort());
        links.send("entry-2", message(2, 1), false);
        await().until(() -> received.size() == 2);
        assertEquals(received.get(1).getDispatchChunk().getSequence(), 2);
    }

    /** Guards against a missing report of a peer that does not listen. */
    @Test
    public void reportsAPeerThatDoesNotListen() throws Exception {
        try (ServerSocket closed = new ServerSocket(0)) {
            addresses.put("entry-2", HOST, closed.getLocalPort());
        }
        links.send("entry-2", message(1, 1), false);
        await().until(() -> unreachable.contains("entry-2"));
        await().until(() -> links.queued() == 0);
        assertFalse(links.send("entry-9", message(1, 1), false));
    }

    /** Guards against unbounded memory use, and against blocking, when a peer reads nothing. */
    @Test
    public void refusesWhenTheQueueIsFull() throws Exception {
        try (ServerSocket mute = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            addresses.put("entry-2", HOST, mute.getLocalPort());
            int sent = 0;
            while (sent < 10 * CAPACITY && links.send("entry-2", message(sent, 100_000), false)) {
                sent++;
            }
            assertTrue(sent < 10 * CAPACITY);
            assertTrue(links.queued() <= CAPACITY);
        }
    }

    /**
     * Guards against writing a probe to the open connection, which may have stopped delivering
     * data.
     */
    @Test
    public void usesANewConnectionWhenAskedTo() throws Exception {
        try (ServerSocket acceptor = new ServerSocket(0, 8, InetAddress.getByName(HOST))) {
            addresses.put("entry-2", HOST, acceptor.getLocalPort());
            links.send("entry-2", message(1, 1), false);
            try (Socket first = acceptor.accept()) {
                assertTrue(first.getInputStream().read() >= 0);
                links.send("entry-2", message(2, 1), true);
                try (Socket second = acceptor.accept()) {
                    assertTrue(second.getInputStream().read() >= 0);
                    assertTrue(unreachable.isEmpty());
                }
            }
        }
    }
}
