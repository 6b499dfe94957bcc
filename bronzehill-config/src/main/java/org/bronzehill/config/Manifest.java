package org.bronzehill.config;

import java.util.List;

/**
 * Names the shards that make up one configuration number.
 *
 * @param base hash of the shard with everything but the adapters
 * @param shards hashes of the adapter shards, in shard order
 */
public record Manifest(long number, String base, List<String> shards) {

    public Manifest {
        shards = List.copyOf(shards);
    }
}
