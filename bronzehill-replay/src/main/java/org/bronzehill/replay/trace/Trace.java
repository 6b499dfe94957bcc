package org.bronzehill.replay.trace;

import java.util.Comparator;
import java.util.List;

/** A header and its records in order of time. */
public record Trace(TraceHeader header, List<TraceRecord> records) {

    public Trace {
        records = records.stream().sorted(Comparator.comparingLong(TraceRecord::at)).toList();
    }

    /** Returns a trace with the same header and other records. */
    public Trace with(List<TraceRecord> other) {
        return new Trace(header, other);
    }
}
