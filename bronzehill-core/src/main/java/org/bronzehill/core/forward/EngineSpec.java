package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.List;

/**
 * Capacity of each engine of a service.
 *
 * @param slots number of requests that run in parallel
 * @param memoryTokens number of tokens of running requests and cached prompts that fit into memory
 * @param modelMemoryMb memory for weights and adapters in MB
 * @param maxAdapters largest number of adapters that are held or being loaded
 * @param loadsPerSecond weight loads per second that the weight store allows over all engines
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        double modelMemoryMb,
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
