package org.bronzehill.core.onceonly;

import org.bronzehill.core.node.Effects;

/** Receives the result of each request for a once-only act exactly once. */
@FunctionalInterface
public interface ActListener {

    /** Called when the request has ended. */
    void ended(String requestId, ActResult result, Effects out);
}
