package org.bronzehill.config;

import java.util.Map;

/**
 * A configuration in its published form.
 *
 * @param shards content of shards by hash; may leave out shards that the receiver already holds
 */
public record ConfigurationImage(Manifest manifest, Map<String, byte[]> shards) {

    public ConfigurationImage {
        shards = Map.copyOf(shards);
    }

    /** Returns the number of the configuration. */
    public long number() {
        return manifest.number();
    }
}
