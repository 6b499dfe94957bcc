package org.bronzehill.entry.relay;

import java.time.Duration;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;

/**
 * Outcome of a caller's request, as reported to the caller.
 *
 * @param loadStall time for which the request waited for its adapter to be loaded; zero if it did
 *     not wait, or if it ended without a result of the core
 */
public record RequestOutcome(
        RequestInfo request,
        ResultCode code,
        Provenance provenance,
        int attempt,
        long chunks,
        Duration loadStall,
        String detail) {}
