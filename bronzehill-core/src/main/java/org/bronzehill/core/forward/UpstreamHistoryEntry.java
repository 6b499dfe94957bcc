package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Change of the record of an upstream in the history of the platform's store.
 *
 * @param id identifier of the upstream
 * @param written record after the change; empty if it was removed
 * @param created whether there was no record before the change
 */
public record UpstreamHistoryEntry(String id, Option<UpstreamRecord> written, boolean created) {

    /** Returns the change that wrote a record, which may have existed before. */
    public static UpstreamHistoryEntry written(UpstreamRecord r) {
        return new UpstreamHistoryEntry(r.id(), Option.of(r), false);
    }

    /** Returns the change that wrote the first record of an upstream, or the first one again. */
    public static UpstreamHistoryEntry created(UpstreamRecord r) {
        return new UpstreamHistoryEntry(r.id(), Option.of(r), true);
    }

    /** Returns the change that removed the record of an upstream. */
    public static UpstreamHistoryEntry removed(String id) {
        return new UpstreamHistoryEntry(id, Option.none(), false);
    }
}
