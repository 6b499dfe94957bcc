package org.bronzehill.config;

import java.util.Map;
import java.util.Set;

/**
 * Everything in a configuration except the adapters. It is small and is published as one shard.
 *
 * @param members teams, by name
 */
public record ConfigurationBase(
        Set<String> baseModels,
        Map<String, KindSpec> kinds,
        Map<String, TeamSpec> members,
        Limits limits,
        Policy policy) {

    /** Base of {@link Configuration#EMPTY}. */
    public static final ConfigurationBase EMPTY =
            new ConfigurationBase(Set.of(), Map.of(), Map.of(), Limits.DEFAULTS, Policy.DEFAULTS);

    public ConfigurationBase {
        baseModels = Set.copyOf(baseModels);
        kinds = Map.copyOf(kinds);
        members = Map.copyOf(members);
    }
}
