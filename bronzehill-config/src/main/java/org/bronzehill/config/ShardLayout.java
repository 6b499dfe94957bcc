package org.bronzehill.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/** Assigns adapters to shards by a hash of their name. */
public final class ShardLayout {

    /**
     * Number of adapter shards. With 90,000 adapters of about 200 bytes, a shard has about 280 KB,
     * well below the 1 MB that the configuration service accepts.
     */
    public static final int SHARD_COUNT = 64;

    private ShardLayout() {}

    /** Returns the index of the shard that contains the adapter {@code name}. */
    public static int shardOf(String name, int shardCount) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() % shardCount);
    }

    /** Distributes adapters over {@link #SHARD_COUNT} shards. */
    static List<Map<String, AdapterSpec>> split(Collection<AdapterSpec> adapters) {
        List<Map<String, AdapterSpec>> shards = new ArrayList<>();
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new LinkedHashMap<>());
        }
        for (AdapterSpec a : adapters) {
            shards.get(shardOf(a.name(), SHARD_COUNT)).put(a.name(), a);
        }
        return shards;
    }
}
