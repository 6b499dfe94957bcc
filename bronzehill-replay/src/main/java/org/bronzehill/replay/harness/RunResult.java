package org.bronzehill.replay.harness;

import java.util.Map;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.replay.generate.Deployment;

/**
 * What a run produced.
 *
 * @param published configurations by number
 * @param meters batch meters by engine
 * @param messageBytesByKind bytes of the messages between instances by kind of message
 * @param measured sum of the reported values by signal
 * @param endNanos time at which the run ended
 */
public record RunResult(
        Deployment deployment,
        EventLog log,
        Map<Long, Configuration> published,
        Map<String, BatchMeter> meters,
        long loads,
        long messages,
        long messageBytes,
        Map<String, Long> messageBytesByKind,
        long configurationCalls,
        Map<CoreMetric, Double> measured,
        long endNanos) {}
