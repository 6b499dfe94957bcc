package org.bronzehill.config;

import java.util.Map;
import java.util.Set;

/** The part of a configuration that is small and changes as a whole: all but the adapters. */
public record ConfigurationBase(
        Set<String> baseModels,
        Map<String, KindSpec> kinds,
        Map<String, TeamSpec> members,
        Limits limits,
        Policy policy) {

    /** Base of the configuration known before the first read. */
    public static final ConfigurationBase EMPTY =
            new ConfigurationBase(Set.of(), Map.of(), Map.of(), Limits.DEFAULTS, Policy.DEFAULTS);

    public ConfigurationBase {
        baseModels = Set.copyOf(baseModels);
        kinds = Map.copyOf(kinds);
        members = Map.copyOf(members);
    }
}
