package org.bronzehill.entry.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Addresses of the peer ports by instance, kept up to date by the core thread. */
public final class PeerAddresses {

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    /** Sets the address of an instance. */
    public void put(String instance, String host, int port) {
        addresses.put(instance, new InetSocketAddress(host, port));
    }

    /** Keeps only the given instances. */
    public void retain(Collection<String> instances) {
        addresses.keySet().retainAll(instances);
    }

    /** Returns the address of an instance. */
    public Optional<InetSocketAddress> of(String instance) {
        return Optional.ofNullable(addresses.get(instance));
    }
}
