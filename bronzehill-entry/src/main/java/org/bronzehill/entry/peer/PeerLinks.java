package org.bronzehill.entry.peer;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.bronzehill.protocol.generated.Envelope;

/** Outgoing links to all peers. */
public final class PeerLinks implements AutoCloseable {

    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final LongAdder bytesSent = new LongAdder();
    private final EventLoopGroup loops;
    private final PeerAddresses addresses;
    private final PeerListener listener;
    private final int maxQueuedMessages;

    private PeerLinks(
            EventLoopGroup loops,
            PeerAddresses addresses,
            PeerListener listener,
            int maxQueuedMessages) {
        this.loops = loops;
        this.addresses = addresses;
        this.listener = listener;
        this.maxQueuedMessages = maxQueuedMessages;
    }

    /**
     * Creates the links.
     *
     * @param maxQueuedMessages largest number of messages queued for one link
     */
    public static PeerLinks create(
            EventLoopGroup loops,
            PeerAddresses addresses,
            PeerListener listener,
            int maxQueuedMessages) {
        return new PeerLinks(loops, addresses, listener, maxQueuedMessages);
    }

    /**
     * Queues a message for an instance; returns false if its address is unknown or its queue is
     * full.
     *
     * @param newConnection whether to replace the open connection with a new one
     */
    public boolean send(String instance, Envelope envelope, boolean newConnection) {
        Optional<PeerLink> link = link(instance);
        return link.isPresent() && link.get().send(envelope, newConnection);
    }

    private Optional<PeerLink> link(String instance) {
        PeerLink known = links.get(instance);
        if (known != null) {
            return Optional.of(known);
        }
        if (addresses.of(instance).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                links.computeIfAbsent(
                        instance,
                        i ->
                                new PeerLink(
                                        i,
                                        loops.next(),
                                        () -> addresses.of(i),
                                        listener,
                                        maxQueuedMessages,
                                        bytesSent)));
    }

    /** Closes the links to instances whose addresses have been removed. */
    public void closeUnlisted() {
        links.forEach(
                (id, link) -> {
                    if (addresses.of(id).isEmpty() && links.remove(id, link)) {
                        link.close();
                    }
                });
    }

    /** Returns the number of queued messages of all links. */
    public int queued() {
        return links.values().stream().mapToInt(PeerLink::queued).sum();
    }

    /** Returns the number of bytes sent on all links since the start. */
    public long sentBytes() {
        return bytesSent.sum();
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        links.clear();
    }
}
