package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Change of the record of an upstream in the history of the platform's store.
 *
 * @param id identifier of the upstream
 * @param written record after the change; empty if it was removed
 */
public record UpstreamHistoryEntry(String id, Option<UpstreamRecord> written) {

    /** Returns the change that wrote a record. */
    public static UpstreamHistoryEntry written(UpstreamRecord r) {
        return new UpstreamHistoryEntry(r.id(), Option.of(r));
    }

    /** Returns the change that removed the record of an upstream. */
    public static UpstreamHistoryEntry removed(String id) {
        return new UpstreamHistoryEntry(id, Option.none());
    }
}
