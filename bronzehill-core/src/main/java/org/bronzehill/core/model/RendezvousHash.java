package org.bronzehill.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous (highest random weight) hashing: all nodes rank the candidates for a key alike. */
public final class RendezvousHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the candidates in descending order of their weight for {@code key}. */
    public static <T> List<T> rank(
            String key, Collection<T> candidates, Function<? super T, String> name) {
        record Weighted<T>(T candidate, long weight, String name) {}
        long seed = hash(key);
        return candidates.stream()
                .map(c -> new Weighted<>(c, weight(seed, name.apply(c)), name.apply(c)))
                .sorted(
                        Comparator.<Weighted<T>>comparingLong(Weighted::weight)
                                .reversed()
                                .thenComparing(Weighted::name))
                .map(Weighted::candidate)
                .toList();
    }

    /** Returns the weight of the candidate {@code name} for {@code key}. */
    public static long weight(String key, String name) {
        return weight(hash(key), name);
    }

    private static long weight(long seed, String name) {
        return weightOf(seed, nameHash(name));
    }

    /** Returns the part of a weight that depends on the key only, for use in {@link #weightOf}. */
    public static long keyHash(String key) {
        return hash(key);
    }

    /** Returns the part of a weight that depends on the candidate only. */
    public static long nameHash(String name) {
        return mix(hash(name));
    }

    /** Returns the weight for a key and a candidate that were hashed before. */
    public static long weightOf(long keyHash, long nameHash) {
        return mix(keyHash ^ nameHash);
    }

    private static long hash(String text) {
        long h = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ (b & 0xff)) * FNV_PRIME;
        }
        return h;
    }

    /** Finalizer of MurmurHash3, used because the high bits of FNV-1a are weakly mixed. */
    private static long mix(long value) {
        long h = value;
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
