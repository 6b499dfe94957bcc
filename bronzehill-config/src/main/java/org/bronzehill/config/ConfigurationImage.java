package org.bronzehill.config;

import java.util.Map;

/**
 * A configuration in its published form.
 *
 * @param shards shard contents, by hash; shards that the receiver already has may be absent
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
