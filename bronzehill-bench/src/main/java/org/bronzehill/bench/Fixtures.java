package org.bronzehill.bench;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Manifest;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.placement.HolderDirectory;
import org.bronzehill.core.placement.Router;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.ResidentAdapter;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.harness.VirtualTime;

/** Creates the objects to measure, for deployments of any size. */
public final class Fixtures {

    private static final int ADAPTER_SLOTS = 48;
    private static final int BATCH_SIZE = 16;
    private static final String HOLDER = "entry-1";

    private Fixtures() {}

    /** Returns a deployment with the given numbers of adapters, engines and entry instances. */
    public static Deployment deployment(int adapters, int engines, int entries) {
        return Deployment.scaled(
                new Deployment.Shape(5, entries, engines, 3, adapters, ADAPTER_SLOTS, BATCH_SIZE));
    }

    /** Returns a router with a summary of each engine, whose adapter slots are all in use. */
    public static Router router(int adapters, int engines) {
        Deployment d = deployment(adapters, engines, 9);
        Configuration c = d.configuration();
        ManualTimeSource time = ManualTimeSource.startingAt(VirtualTime.START);
        time.advance(Duration.ofMinutes(1));
        Router router =
                Router.create(directory(d.region()), () -> c, time, new SplittableRandom(1));
        router.onInstanceList(new InstanceList(1, List.of(), d.upstreams()));
        SplittableRandom random = new SplittableRandom(2);
        EngineSummaries.Builder all = EngineSummaries.newBuilder();
        for (int i = 0; i < engines; i++) {
            all.addSummaries(summary(d, i, random));
        }
        router.onSummaries(all.build());
        return router;
    }

    private static EngineSummary summary(Deployment d, int engine, SplittableRandom random) {
        EngineSummary.Builder s =
                EngineSummary.newBuilder()
                        .setEngine("engine-" + engine)
                        .setHolder(HOLDER)
                        .setFencing(1)
                        .setSequence(1)
                        .setAdapterSlots(ADAPTER_SLOTS)
                        .setBatchSize(BATCH_SIZE)
                        .setRunning(random.nextInt(BATCH_SIZE))
                        .setQueued(random.nextInt(4))
                        .setAvailable(true)
                        .setDataCentre(d.dataCentre(engine))
                        .setBaseModel("base-0");
        for (int i = 0; i < ADAPTER_SLOTS; i++) {
            s.addAdapters(
                    ResidentAdapter.newBuilder()
                            .setAdapter(
                                    Deployment.adapterName(random.nextInt(d.shape().adapters())))
                            .setVersion(1));
        }
        return s.build();
    }

    private static HolderDirectory directory(String region) {
        return new HolderDirectory() {
            @Override
            public Option<String> holderOf(String engine) {
                return Option.of(HOLDER);
            }

            @Override
            public boolean isReachable(String instance) {
                return true;
            }

            @Override
            public boolean isImpaired(String instance) {
                return false;
            }

            @Override
            public String region() {
                return region;
            }
        };
    }

    /** Configurations with increasing numbers, each of which changes one adapter. */
    public static final class Changes {

        private final ConfigurationImage full;
        private final List<Manifest> manifests = new ArrayList<>();
        private final List<Map<String, byte[]>> changed = new ArrayList<>();
        private long number;

        /** Creates changes that alternate between two versions of one adapter. */
        public Changes(int adapters) {
            Deployment d = deployment(adapters, 8, 9);
            full = ImageCodec.encode(d.configuration());
            number = full.number();
            for (int version = 2; version >= 1; version--) {
                Map<String, Integer> pin = Map.of(Deployment.adapterName(0), version);
                ConfigurationImage next = ImageCodec.encode(d.configuration(2, pin));
                Map<String, byte[]> shards = new HashMap<>(next.shards());
                shards.keySet().removeAll(version == 2 ? full.shards().keySet() : List.of());
                if (version == 1) {
                    shards.keySet().retainAll(difference(next));
                }
                manifests.add(next.manifest());
                changed.add(shards);
            }
        }

        private List<String> difference(ConfigurationImage next) {
            List<String> hashes = new ArrayList<>(next.manifest().shards());
            hashes.removeAll(manifests.get(0).shards());
            return hashes;
        }

        /** Returns the image of the first configuration. */
        public ConfigurationImage first() {
            return full;
        }

        /**
         * Returns the next change: a manifest and the shards that differ from the previous image.
         */
        public ConfigurationImage next() {
            number++;
            int i = (int) (number % 2);
            Manifest m = manifests.get(i);
            return new ConfigurationImage(
                    new Manifest(number, m.base(), m.shards()), changed.get(i));
        }
    }
}
