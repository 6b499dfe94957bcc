package org.bronzehill.core.forward;

/**
 * What an upstream states about itself in an answer to any request.
 *
 * @param leaving whether it is about to leave and must get no new requests
 */
public record UpstreamNotice(boolean leaving) {

    /** Nothing is stated. */
    public static final UpstreamNotice NONE = new UpstreamNotice(false);
}
