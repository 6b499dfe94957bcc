package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.jboss.logging.Logger;

/** Newest versions of adapters that the platform has published. A version never decreases. */
final class AdapterVersions {

    private static final Logger LOG = Logger.getLogger(AdapterVersions.class);

    private final Map<AdapterRef, Integer> newest = new HashMap<>();

    /** Updates the newest version of an adapter; returns whether the given one is the newest. */
    boolean update(AdapterRef adapter, int version) {
        int known = newest(adapter).getOrElse(0);
        if (version <= known) {
            return version == known;
        }
        newest.put(adapter, version);
        LOG.infof("event=adapter-version adapter=%s version=%d", adapter.key(), version);
        return true;
    }

    /** Returns the newest version of an adapter; empty if none has been published. */
    Option<Integer> newest(AdapterRef adapter) {
        return Option.of(newest.get(adapter));
    }
}
