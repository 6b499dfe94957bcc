package org.bronzehill.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.config.ConfigurationStore.OfferResult;
import org.testng.annotations.Test;

/** Tests which images a store accepts and which shards it replaces. */
public class ConfigurationStoreTest {

    private static Configuration changed(Configuration c, long number, String adapter) {
        List<AdapterSpec> adapters =
                c.adapters()
                        .map(a -> a.name().equals(adapter) ? Declarations.adapter(adapter, 2) : a)
                        .toList();
        return Configuration.of(number, c.base(), adapters);
    }

    @Test(description = "guards against an older image that lowers the configuration number")
    public void olderImageIsIgnored() {
        ConfigurationStore store = ConfigurationStore.create();
        store.offer(ImageCodec.encode(Declarations.withAdapters(5, 10)));
        OfferResult offer = store.offer(ImageCodec.encode(Declarations.withAdapters(4, 10))).get();

        assertEquals(offer, OfferResult.STALE);
        assertEquals(store.current().number(), 5);
        assertEquals(store.staleImages(), 1);
    }

    @Test(description = "guards against transferring or decoding unchanged shards")
    public void changeOfOneAdapterReplacesOneShard() {
        ConfigurationStore store = ConfigurationStore.create();
        Configuration first = Declarations.withAdapters(1, 3000);
        store.offer(ImageCodec.encode(first));
        ConfigurationImage second = ImageCodec.encode(changed(first, 2, "adapter-17"));
        Set<String> missing = store.missingHashes(second.manifest(), Set.of());
        assertEquals(missing.size(), 1);

        Map<String, byte[]> delta = new HashMap<>(second.shards());
        delta.keySet().retainAll(missing);
        AdapterSpec untouched = store.current().adapter("adapter-1").get();
        OfferResult offer = store.offer(new ConfigurationImage(second.manifest(), delta)).get();

        assertEquals(offer, OfferResult.ACCEPTED);
        assertEquals(store.current().adapter("adapter-17").get().versionFor("any"), 2);
        assertSame(store.current().adapter("adapter-1").get(), untouched);
        assertEquals(store.shardContents().size(), ShardLayout.SHARD_COUNT + 1);
    }

    @Test(description = "guards against activating an image with missing or damaged shards")
    public void incompleteOrDamagedImageIsNotActivated() {
        ConfigurationStore store = ConfigurationStore.create();
        ConfigurationImage image = ImageCodec.encode(Declarations.withAdapters(3, 50));
        assertEquals(
                store.offer(new ConfigurationImage(image.manifest(), Map.of())).get(),
                OfferResult.INCOMPLETE);

        Map<String, byte[]> damaged = new HashMap<>(image.shards());
        damaged.replace(image.manifest().shards().get(0), new byte[] {'{', '}'});
        assertTrue(store.offer(new ConfigurationImage(image.manifest(), damaged)).isLeft());
        assertEquals(store.current().number(), 0);
    }

    @Test(description = "guards against shards too large for the configuration service")
    public void ninetyThousandAdaptersFitTheValueLimit() {
        ConfigurationImage image = ImageCodec.encode(Declarations.withAdapters(1, 90_000));
        int largest = image.shards().values().stream().mapToInt(b -> b.length).max().orElseThrow();
        assertTrue(largest <= ImageCodec.MAX_VALUE_BYTES, "largest shard: " + largest);
    }

    @Test(description = "guards against fields lost in the published form")
    public void imageRoundTripPreservesAllFields() {
        ConfigurationStore store = ConfigurationStore.create();
        Configuration declared = Declarations.valid();
        store.offer(ImageCodec.encode(declared));

        assertEquals(store.current().base(), declared.base());
        assertEquals(store.current().adapter("goat-route-1"), declared.adapter("goat-route-1"));
        byte[] manifest = ImageCodec.encodeManifest(store.manifest());
        assertEquals(ImageCodec.decodeManifest(manifest).get(), store.manifest());
    }
}
