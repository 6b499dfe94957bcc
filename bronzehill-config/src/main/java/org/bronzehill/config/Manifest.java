package org.bronzehill.config;

import java.util.List;

/**
 * Lists the shards of a configuration by their hashes.
 *
 * @param number configuration number
 * @param base hash of the shard that contains everything except the adapters
 * @param shards hashes of the adapter shards, in shard order
 */
public record Manifest(long number, String base, List<String> shards) {

    public Manifest {
        shards = List.copyOf(shards);
    }
}
