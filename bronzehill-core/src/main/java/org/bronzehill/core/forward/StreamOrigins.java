package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzehill.core.time.TimeSource;

/**
 * Origins of the streams that callers may still resume, by the hash of the request that began them.
 */
final class StreamOrigins {

    /** Largest number of streams, about 5 MB; beyond it the oldest ones are forgotten. */
    static final int MAX_STREAMS = 16_384;

    private final TimeSource time;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /**
     * @param reportedBy instance that reported the stream; empty for streams of this instance
     */
    record Entry(StreamOrigin origin, String reportedBy, long validUntil) {

        FoundOrigin found() {
            return FoundOrigin.of(
                    origin,
                    reportedBy.isEmpty() ? OriginSource.OWN : OriginSource.REPORTED,
                    reportedBy);
        }
    }

    StreamOrigins(TimeSource time) {
        this.time = time;
    }

    /**
     * Remembers the origin of a stream. The first origin stays, since it is the one of the first
     * event.
     *
     * @return whether the stream was not known for that long yet
     */
    boolean put(long stream, StreamOrigin origin, String reportedBy, long validUntil) {
        Entry known = get(stream).getOrNull();
        if (known != null) {
            if (validUntil - known.validUntil() <= 0) {
                return false;
            }
            entries.put(stream, new Entry(known.origin(), known.reportedBy(), validUntil));
            return true;
        }
        entries.remove(stream);
        entries.put(stream, new Entry(origin, reportedBy, validUntil));
        if (entries.size() > MAX_STREAMS) {
            Iterator<Long> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    Option<Entry> get(long stream) {
        Entry entry = entries.get(stream);
        return Option.of(entry).filter(e -> e.validUntil() - time.nanoTime() > 0);
    }

    /** Forgets the streams that their callers can no longer resume. */
    void removeExpired() {
        long now = time.nanoTime();
        entries.values().removeIf(e -> e.validUntil() - now <= 0);
    }
}
