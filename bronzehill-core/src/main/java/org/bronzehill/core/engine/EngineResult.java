package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/**
 * Result of one request at an engine.
 *
 * @param adapter adapter that the request named
 * @param version version resolved when the request was started; 0 if it was not started
 * @param configurationNumber number of the configuration under which the version was resolved or
 *     the request ended unstarted
 * @param upstream engine that ran the request; empty if the request was not started
 * @param chunks number of chunks sent to the origin; a lower bound if the engine restarted during
 *     the attempt or the transport did not report the attempt's end
 * @param redirectTo engine to try instead; empty unless the code is REDIRECT
 * @param loadStall time for which the request waited for its adapter to be loaded
 * @param retryAfter delay before the caller should retry; zero if the code needs none
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
