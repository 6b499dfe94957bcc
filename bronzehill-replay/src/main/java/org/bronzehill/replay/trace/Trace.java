package org.bronzehill.replay.trace;

import java.util.Comparator;
import java.util.List;

/** Header of a trace and its records in order of time. */
public record Trace(TraceHeader header, List<TraceRecord> records) {

    private static final long TIME_AFTER_LAST_RECORD_MS = 60_000;

    public Trace {
        records = records.stream().sorted(Comparator.comparingLong(TraceRecord::at)).toList();
    }

    /**
     * Returns the virtual time at which the replay ends. The header of a recorded trace has no
     * duration, because the recorder writes it first; the replay then ends a minute after the last
     * record, so that open requests can finish.
     */
    public long durationMs() {
        if (header.durationMs() > 0 || records.isEmpty()) {
            return header.durationMs();
        }
        return records.get(records.size() - 1).at() + TIME_AFTER_LAST_RECORD_MS;
    }

    /** Returns a trace with the same header and the given records. */
    public Trace withRecords(List<TraceRecord> other) {
        return new Trace(header, other);
    }
}
