package org.bronzehill.config;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Prints heap use, published size and the cost of one change for a number of adapters. */
public final class ConfigurationCostMeasurement {

    private static final int CHANGES = 50;

    private ConfigurationCostMeasurement() {}

    /**
     * Prints the row for the number of adapters in the first argument. Each size needs a process of
     * its own, because heap left from another size would distort the figures.
     */
    public static void main(String[] args) {
        System.out.println("adapters heap-MB published-MB largest-shard-KB change-KB change-ms");
        printRow(Integer.parseInt(args[0]));
    }

    private static void printRow(int count) {
        ConfigurationImage image = ImageCodec.encode(Declarations.withAdapters(1, count));
        ConfigurationStore.create().offer(image);
        long before = usedHeap();
        ConfigurationStore store = ConfigurationStore.create();
        Map<String, byte[]> copy = new HashMap<>();
        image.shards().forEach((hash, content) -> copy.put(hash, content.clone()));
        store.offer(new ConfigurationImage(image.manifest(), copy));
        copy.clear();
        double heap = (usedHeap() - before) / 1e6;
        long published = image.shards().values().stream().mapToLong(b -> b.length).sum();
        int largest = image.shards().values().stream().mapToInt(b -> b.length).max().orElse(0);
        long changeBytes = 0;
        long nanos = 0;
        for (int i = 0; i < CHANGES; i++) {
            ConfigurationImage delta = delta(store, i);
            changeBytes +=
                    delta.shards().values().stream().mapToLong(b -> b.length).sum()
                            + ImageCodec.encodeManifest(delta.manifest()).length;
            long start = System.nanoTime();
            store.offer(delta);
            nanos += System.nanoTime() - start;
        }
        System.out.printf(
                Locale.ROOT,
                "%8d %7.1f %12.1f %16.1f %9.1f %9.2f%n",
                count,
                heap,
                published / 1e6,
                largest / 1e3,
                changeBytes / 1e3 / CHANGES,
                nanos / 1e6 / CHANGES);
    }

    /** Returns an image that changes one adapter and contains only the changed shard. */
    private static ConfigurationImage delta(ConfigurationStore store, int index) {
        Configuration c = store.current();
        String name = "adapter-" + index;
        List<AdapterSpec> adapters =
                c.adapters()
                        .map(a -> a.name().equals(name) ? Declarations.adapter(name, 2) : a)
                        .toList();
        ConfigurationImage next =
                ImageCodec.encode(Configuration.of(c.number() + 1, c.base(), adapters));
        Map<String, byte[]> changed = new HashMap<>(next.shards());
        changed.keySet().retainAll(store.missingHashes(next.manifest(), Set.of()));
        return new ConfigurationImage(next.manifest(), changed);
    }

    private static long usedHeap() {
        for (int i = 0; i < 10; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
