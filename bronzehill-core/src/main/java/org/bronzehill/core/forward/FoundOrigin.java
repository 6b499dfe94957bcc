package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Result of the search for the origin of a stream.
 *
 * @param origin empty if it is not certain where the stream began
 * @param instance instance that has reported it or was asked; empty for other sources
 */
record FoundOrigin(Option<StreamOrigin> origin, OriginSource source, String instance) {

    static final FoundOrigin UNKNOWN = new FoundOrigin(Option.none(), OriginSource.UNKNOWN, "");

    static FoundOrigin of(StreamOrigin origin, OriginSource source, String instance) {
        return new FoundOrigin(Option.of(origin), source, instance);
    }

    @Override
    public String toString() {
        return source.label() + (instance.isEmpty() ? "" : ":" + instance);
    }
}
