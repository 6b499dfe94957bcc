package org.bronzehill.core.forward;

import java.util.Map;
import java.util.Set;

/**
 * Inventory of an engine as last sent to other instances.
 *
 * @param fencing fencing number of the claim under which it was sent
 */
record SentInventory(
        int version,
        long fencing,
        Set<String> models,
        Map<AdapterRef, Integer> resident,
        Map<AdapterRef, Integer> loading) {

    static SentInventory of(UpstreamState u, long fencing) {
        return new SentInventory(
                u.inventoryVersion(),
                fencing,
                Set.copyOf(u.models()),
                Map.copyOf(u.adapters(false)),
                Map.copyOf(u.adapters(true)));
    }

    /** Returns whether changes suffice for a receiver that has this inventory. */
    boolean isBaseFor(UpstreamState u, long currentFencing) {
        return fencing == currentFencing && models.equals(u.models());
    }
}
