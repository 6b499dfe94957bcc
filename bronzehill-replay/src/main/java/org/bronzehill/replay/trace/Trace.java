package org.bronzehill.replay.trace;

import java.util.Comparator;
import java.util.List;

/** A header and its records in order of time. */
public record Trace(TraceHeader header, List<TraceRecord> records) {

    private static final long TIME_AFTER_LAST_RECORD_MS = 60_000;

    public Trace {
        records = records.stream().sorted(Comparator.comparingLong(TraceRecord::at)).toList();
    }

    /**
     * Returns the virtual time at which replay ends. A recorder cannot know the duration when it
     * writes the header; then replay goes on after the last record until every deadline has passed.
     */
    public long durationMs() {
        if (header.durationMs() > 0 || records.isEmpty()) {
            return header.durationMs();
        }
        return records.get(records.size() - 1).at() + TIME_AFTER_LAST_RECORD_MS;
    }

    /** Returns a trace with the same header and other records. */
    public Trace withRecords(List<TraceRecord> other) {
        return new Trace(header, other);
    }
}
