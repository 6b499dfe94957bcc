package org.bronzehill.core.model;

import java.util.List;

/**
 * One version of the published instance list.
 *
 * @param version number that increases with every change of the list
 */
public record InstanceList(long version, List<ListedInstance> instances, List<Upstream> upstreams) {

    /** The list in use before the first read. */
    public static final InstanceList EMPTY = new InstanceList(0, List.of(), List.of());

    public InstanceList {
        instances = List.copyOf(instances);
        upstreams = List.copyOf(upstreams);
    }
}
