package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/**
 * How one request ended at an engine.
 *
 * @param adapter adapter that served or would have served the request
 * @param version version resolved at dispatch; 0 if the request was refused before
 * @param configurationNumber number in force when the version was resolved or the request refused
 * @param upstream engine that ran the request; empty if it was not started
 * @param chunks chunks sent to the origin; a lower bound if the attempt ended with a restart of the
 *     engine
 * @param redirectTo engine to try instead; empty unless the code is REDIRECT
 * @param loadStall time for which the request waited for its adapter
 * @param retryAfter zero if the code needs none
 */
public record EngineResult(
        ResultCode code,
        String adapter,
        int version,
        long configurationNumber,
        String upstream,
        long chunks,
        String redirectTo,
        Duration loadStall,
        Duration retryAfter) {}
