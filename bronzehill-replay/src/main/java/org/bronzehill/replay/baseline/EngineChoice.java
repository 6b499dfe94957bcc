package org.bronzehill.replay.baseline;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.bronzehill.core.model.RendezvousHash;

/** How a baseline chooses the engine of a request. */
public enum EngineChoice {
    /** A random engine, all with the same probability. */
    RANDOM {
        @Override
        EngineView choose(String adapter, List<EngineView> engines, RandomGenerator random) {
            return engines.get(random.nextInt(engines.size()));
        }
    },
    /** The engine with the fewest open requests, regardless of its loaded adapters. */
    LEAST_LOADED {
        @Override
        EngineView choose(String adapter, List<EngineView> engines, RandomGenerator random) {
            int offset = random.nextInt(engines.size());
            return engines.stream()
                    .min(
                            Comparator.comparingInt(EngineView::openRequestCount)
                                    .thenComparing(
                                            e -> (engines.indexOf(e) + offset) % engines.size()))
                    .orElseThrow();
        }
    },
    /** The first engine in the rendezvous order of the adapter. */
    RENDEZVOUS {
        @Override
        EngineView choose(String adapter, List<EngineView> engines, RandomGenerator random) {
            return RendezvousHash.rank(adapter, engines, EngineView::id).get(0);
        }
    };

    abstract EngineView choose(String adapter, List<EngineView> engines, RandomGenerator random);

    /** Returns the name of the policy in tables. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
