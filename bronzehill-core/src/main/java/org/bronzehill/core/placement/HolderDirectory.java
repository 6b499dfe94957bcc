package org.bronzehill.core.placement;

import io.vavr.control.Option;

/** The parts of membership and leases that the router needs. */
public interface HolderDirectory {

    /** Returns the instance believed to hold the lease of the engine. */
    Option<String> holderOf(String engine);

    /** Returns whether a message can be sent to the instance. */
    boolean isReachable(String instance);

    /** Returns whether the instance answers late; it is used last. */
    boolean isSlow(String instance);

    /** Returns the region of this instance. */
    String region();
}
