package org.bronzehill.core.spread;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Manifest;
import org.bronzehill.protocol.generated.ConfigurationPull;
import org.bronzehill.protocol.generated.ConfigurationPush;
import org.bronzehill.protocol.generated.ConfigurationShard;

/** State of a pull of a newer configuration from one peer, with the shards received so far. */
final class PullState {

    private static final long PULL_TIMEOUT_NANOS = 1_000_000_000L;

    private final ConfigurationStore store;
    private final Map<String, byte[]> staged = new HashMap<>();
    private Manifest manifest;
    private String source = "";
    private long sentNanos;

    PullState(ConfigurationStore store) {
        this.store = store;
    }

    /** Returns whether a pull has been sent that has neither been answered nor timed out. */
    boolean isPending(long now) {
        return !source.isEmpty() && now - sentNanos < PULL_TIMEOUT_NANOS;
    }

    ConfigurationPull start(String peer, long now) {
        source = peer;
        sentNanos = now;
        List<String> present = new ArrayList<>(store.shardContents().keySet());
        for (String hash : staged.keySet()) {
            if (!store.shardContents().containsKey(hash)) {
                present.add(hash);
            }
        }
        return ConfigurationPull.newBuilder()
                .setHaveNumber(store.current().number())
                .addAllHaveShards(present)
                .build();
    }

    void end() {
        source = "";
    }

    /**
     * Stages the shards of a push. Returns the complete configuration when no shard is missing,
     * else {@code null}. Shards that do not match their hash are dropped.
     */
    ConfigurationImage receive(ConfigurationPush push) {
        Manifest next = ImageCodec.decodeManifest(push.getManifest().toByteArray()).getOrNull();
        if (next == null || next.number() <= store.current().number()) {
            return null;
        }
        if (manifest != null && next.number() < manifest.number()) {
            return null;
        }
        manifest = next;
        List<String> needed = ShardPacker.hashes(next);
        staged.keySet().retainAll(needed);
        for (ConfigurationShard s : push.getShardsList()) {
            byte[] content = s.getContent().toByteArray();
            if (needed.contains(s.getHash()) && ImageCodec.hash(content).equals(s.getHash())) {
                staged.put(s.getHash(), content);
            }
        }
        if (!store.missingHashes(next, staged.keySet()).isEmpty()) {
            return null;
        }
        return new ConfigurationImage(next, staged);
    }

    /** Ends the pull and discards the staged shards. */
    void reset() {
        staged.clear();
        manifest = null;
        source = "";
    }
}
