package org.bronzehill.replay.trace;

/**
 * First line of a trace.
 *
 * @param version version of the format; a reader rejects other versions
 * @param deployment name of the deployment whose instances, upstreams and adapters are used
 * @param seed seed of the generator and of all random choices during replay
 * @param durationMs virtual time at which replay ends; 0 in a recorded trace, whose end the
 *     recorder cannot know
 */
public record TraceHeader(
        String format, int version, String deployment, long seed, long durationMs, String title) {

    /** Format name that identifies a file as a trace. */
    public static final String FORMAT = "bronzehill-trace";

    /** Format version that this code reads and writes. */
    public static final int VERSION = 1;

    /** Creates a header of the current format version. */
    public static TraceHeader of(String deployment, long seed, long durationMs, String title) {
        return new TraceHeader(FORMAT, VERSION, deployment, seed, durationMs, title);
    }
}
