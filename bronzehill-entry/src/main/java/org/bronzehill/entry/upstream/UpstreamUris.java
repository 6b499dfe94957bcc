package org.bronzehill.entry.upstream;

import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.Upstream;

/** Base URIs of the upstreams, from the published instance list. */
public final class UpstreamUris {

    private volatile Map<String, URI> uris = Map.of();

    /** Replaces the URIs with those of an instance list. */
    public void update(InstanceList list) {
        uris =
                list.upstreams().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Upstream::id, Upstream::uri, (a, b) -> b));
    }

    /** Returns the base URI of an upstream; empty if the instance list does not contain it. */
    public Optional<URI> of(String upstream) {
        return Optional.ofNullable(uris.get(upstream));
    }
}
