package org.bronzehill.entry.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Addresses of the peers' ports for peer links, from the published instance list. */
public final class PeerAddresses {

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    /** Sets the address of an instance. */
    public void put(String instance, String host, int port) {
        addresses.put(instance, new InetSocketAddress(host, port));
    }

    /** Removes the addresses of all instances but the given ones. */
    public void retain(Collection<String> instances) {
        addresses.keySet().retainAll(instances);
    }

    /** Returns the address of an instance; empty if unknown. */
    public Optional<InetSocketAddress> of(String instance) {
        return Optional.ofNullable(addresses.get(instance));
    }
}
