package org.bronzehill.core.spread;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Manifest;
import org.bronzehill.protocol.generated.ConfigurationPush;
import org.bronzehill.protocol.generated.ConfigurationShard;

/** Selects the shards that fit into one message. The receiver pulls again for the others. */
final class ShardPacker {

    /**
     * Messages between instances are limited to 1 MiB, of which 8 KiB are left for the envelope.
     */
    static final int MAX_PUSH_BYTES = (1 << 20) - 8 * 1024;

    private static final int SHARD_OVERHEAD_BYTES = 100;

    private ShardPacker() {}

    /**
     * Returns the next part of the configuration for a peer that has the shards {@code
     * presentHashes}.
     */
    static ConfigurationPush pack(ConfigurationStore store, Set<String> presentHashes) {
        Manifest manifest = store.manifest();
        byte[] encoded = ImageCodec.encodeManifest(manifest);
        ConfigurationPush.Builder push = ConfigurationPush.newBuilder();
        push.setNumber(manifest.number()).setManifest(ByteString.copyFrom(encoded));
        int availableBytes = MAX_PUSH_BYTES - encoded.length;
        int usedBytes = 0;
        for (String hash : hashes(manifest)) {
            if (presentHashes.contains(hash)) {
                continue;
            }
            byte[] content = store.shardContents().get(hash);
            int sizeBytes = content.length + SHARD_OVERHEAD_BYTES;
            if (usedBytes + sizeBytes > availableBytes) {
                push.setMore(true);
                continue;
            }
            usedBytes += sizeBytes;
            push.addShards(
                    ConfigurationShard.newBuilder()
                            .setHash(hash)
                            .setContent(ByteString.copyFrom(content)));
        }
        return push.build();
    }

    /** Returns the distinct shard hashes of a manifest in order. */
    static List<String> hashes(Manifest manifest) {
        Set<String> hashes = new HashSet<>();
        List<String> ordered = new ArrayList<>();
        if (!manifest.base().isEmpty() && hashes.add(manifest.base())) {
            ordered.add(manifest.base());
        }
        for (String h : manifest.shards()) {
            if (hashes.add(h)) {
                ordered.add(h);
            }
        }
        return ordered;
    }
}
