package org.bronzehill.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the configuration in force and its shards. The number in force never decreases. Not
 * thread-safe: it belongs to the thread that makes the decisions.
 */
public final class ConfigurationStore {

    private Configuration current = Configuration.EMPTY;
    private Manifest manifest = new Manifest(0, "", List.of());
    private Map<String, byte[]> shardContents = Map.of();
    private long staleReads;

    private ConfigurationStore() {}

    /** Creates a store that holds {@link Configuration#EMPTY}. */
    public static ConfigurationStore create() {
        return new ConfigurationStore();
    }

    /** Outcome of offering an image to the store. */
    public enum OfferResult {
        /** The image is in force now. */
        ACCEPTED,
        /** The image has the number that is already in force. */
        UNCHANGED,
        /** The image has an older number and was ignored. */
        STALE,
        /** The image lacks shards that the store does not hold either. */
        INCOMPLETE
    }

    /**
     * Puts the image in force if its number is higher; a left value says why it cannot be decoded.
     */
    public Either<String, OfferResult> offer(ConfigurationImage image) {
        Manifest next = image.manifest();
        if (next.number() < manifest.number()) {
            staleReads++;
            return Either.right(OfferResult.STALE);
        }
        if (next.number() == manifest.number()) {
            return Either.right(OfferResult.UNCHANGED);
        }
        if (!missingHashes(next, image.shards().keySet()).isEmpty()) {
            return Either.right(OfferResult.INCOMPLETE);
        }
        Map<String, byte[]> available = new HashMap<>(shardContents);
        available.putAll(image.shards());
        return decode(next, available)
                .map(
                        decoded -> {
                            replaceCurrent(next, decoded, available);
                            return OfferResult.ACCEPTED;
                        });
    }

    private Either<String, Configuration> decode(Manifest next, Map<String, byte[]> available) {
        for (String hash : hashesOf(next)) {
            byte[] content = available.get(hash);
            if (!shardContents.containsKey(hash) && !ImageCodec.hash(content).equals(hash)) {
                return Either.left("content of shard " + hash + " does not match its hash");
            }
        }
        Either<String, ConfigurationBase> base =
                next.base().equals(manifest.base())
                        ? Either.right(current.base())
                        : ImageCodec.decodeBase(available.get(next.base()));
        if (base.isLeft()) {
            return Either.left(base.getLeft());
        }
        Map<String, Map<String, AdapterSpec>> decoded = currentShardsByHash();
        List<Map<String, AdapterSpec>> shards = new ArrayList<>();
        for (String hash : next.shards()) {
            Map<String, AdapterSpec> alreadyDecoded = decoded.get(hash);
            Either<String, Map<String, AdapterSpec>> shard =
                    alreadyDecoded != null
                            ? Either.right(alreadyDecoded)
                            : ImageCodec.decodeShard(available.get(hash));
            if (shard.isLeft()) {
                return Either.left(shard.getLeft());
            }
            shards.add(shard.get());
        }
        if (shards.isEmpty()) {
            return Either.left("manifest " + next.number() + " names no adapter shard");
        }
        return Either.right(Configuration.of(next.number(), base.get(), shards));
    }

    private Map<String, Map<String, AdapterSpec>> currentShardsByHash() {
        Map<String, Map<String, AdapterSpec>> decoded = new HashMap<>();
        for (int i = 0; i < manifest.shards().size(); i++) {
            decoded.put(manifest.shards().get(i), current.shards().get(i));
        }
        return decoded;
    }

    private void replaceCurrent(
            Manifest next, Configuration decoded, Map<String, byte[]> available) {
        Set<String> kept = new HashSet<>(hashesOf(next));
        available.keySet().retainAll(kept);
        shardContents = Map.copyOf(available);
        manifest = next;
        current = decoded;
    }

    /**
     * Returns the hashes of shards of {@code wanted} that neither the store nor {@code offered}
     * holds.
     */
    public Set<String> missingHashes(Manifest wanted, Set<String> offered) {
        Set<String> missing = new HashSet<>(hashesOf(wanted));
        missing.removeAll(shardContents.keySet());
        missing.removeAll(offered);
        return missing;
    }

    private static List<String> hashesOf(Manifest manifest) {
        List<String> hashes = new ArrayList<>(manifest.shards());
        if (!manifest.base().isEmpty()) {
            hashes.add(manifest.base());
        }
        return hashes;
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return current;
    }

    /** Returns the manifest in force. */
    public Manifest manifest() {
        return manifest;
    }

    /** Returns the content of the shards in force by hash. */
    public Map<String, byte[]> shardContents() {
        return shardContents;
    }

    /** Returns how many older images have been ignored. */
    public long staleReads() {
        return staleReads;
    }
}
