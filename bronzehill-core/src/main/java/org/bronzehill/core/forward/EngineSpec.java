package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.List;

/**
 * Size of each engine of a service.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens of running requests and cached prompts that fit
 * @param weightsMb room for weights and adapters in MB
 * @param maxAdapters largest number of adapters held or being fetched
 * @param loadsPerSecond loads of weights that the weight store allows over all engines
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        double weightsMb,
        int maxAdapters,
        double loadsPerSecond,
        List<ModelSpec> models) {

    public EngineSpec {
        models = List.copyOf(models);
    }

    /** Returns the model with the given name. */
    public Option<ModelSpec> model(String name) {
        return Option.ofOptional(models.stream().filter(m -> m.name().equals(name)).findFirst());
    }
}
