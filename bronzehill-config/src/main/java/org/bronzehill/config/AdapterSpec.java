package org.bronzehill.config;

import java.util.Map;
import java.util.stream.Collectors;

/**
 * An adapter with its numbered versions.
 *
 * @param group adapter group; teams that list it are entitled to the adapter
 * @param versions locations of the weights, by version number
 * @param pins pinned versions, by kind of request; the key {@code *} applies to all other kinds
 */
public record AdapterSpec(
        String name,
        String baseModel,
        String group,
        Map<Integer, String> versions,
        Map<String, Integer> pins) {

    /** Key of the pin that applies to every kind without a pin of its own. */
    public static final String ANY_KIND = "*";

    public AdapterSpec {
        // The same few base models, groups and kinds occur in tens of thousands of adapters, so
        // interning the strings saves memory.
        baseModel = baseModel.intern();
        group = group.intern();
        versions = Map.copyOf(versions);
        pins =
                pins.entrySet().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        e -> e.getKey().intern(), Map.Entry::getValue));
    }

    /**
     * Returns the version pinned for {@code kind}, or 0 if the adapter does not serve that kind.
     */
    public int versionFor(String kind) {
        Integer version = pins.get(kind);
        return version != null ? version : pins.getOrDefault(ANY_KIND, 0);
    }
}
