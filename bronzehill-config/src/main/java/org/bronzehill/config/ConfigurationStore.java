package org.bronzehill.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the current configuration and its shards. The configuration number never decreases. Not
 * thread-safe: all calls must come from the thread that makes the instance's routing decisions.
 */
public final class ConfigurationStore {

    private Configuration current = Configuration.EMPTY;
    private Manifest manifest = new Manifest(0, "", List.of());
    private Map<String, byte[]> shardContents = Map.of();
    private long staleImages;

    private ConfigurationStore() {}

    /** Creates a store that holds {@link Configuration#EMPTY}. */
    public static ConfigurationStore create() {
        return new ConfigurationStore();
    }

    /** Result of offering an image to the store. */
    public enum OfferResult {
        /** The image is now the current configuration. */
        ACCEPTED,
        /** The image has the number of the current configuration. */
        UNCHANGED,
        /** The image has a lower number and was ignored. */
        STALE,
        /** Some shards are neither in the image nor in the store. */
        INCOMPLETE
    }

    /**
     * Makes the image the current configuration if its number is higher and each of its shards is
     * in the image or in the store. A left value states why the image is invalid: a shard does not
     * match its hash or cannot be decoded, or the manifest lists no adapter shards.
     */
    public Either<String, OfferResult> offer(ConfigurationImage image) {
        Manifest next = image.manifest();
        if (next.number() < manifest.number()) {
            staleImages++;
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
            return Either.left("manifest " + next.number() + " lists no adapter shards");
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
     * Returns the hashes in {@code wanted} that are neither in the store nor in {@code offered}.
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

    /** Returns the current configuration. */
    public Configuration current() {
        return current;
    }

    /** Returns the manifest of the current configuration. */
    public Manifest manifest() {
        return manifest;
    }

    /** Returns the shard contents of the current configuration, by hash. */
    public Map<String, byte[]> shardContents() {
        return shardContents;
    }

    /** Returns the number of images ignored because of a lower number. */
    public long staleImages() {
        return staleImages;
    }
}
