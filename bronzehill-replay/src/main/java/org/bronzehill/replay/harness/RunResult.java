package org.bronzehill.replay.harness;

import java.util.Map;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.replay.generate.Deployment;

/**
 * What a run produced.
 *
 * @param configurations configurations by number
 * @param batchMeters batch meters by engine
 * @param messageBytesByKind bytes of the messages between instances by kind of message
 * @param metricSums sum of the reported values by signal
 * @param endNanos time at which the run ended
 */
public record RunResult(
        Deployment deployment,
        EventLog log,
        Map<Long, Configuration> configurations,
        Map<String, BatchMeter> batchMeters,
        long loads,
        long messages,
        long messageBytes,
        Map<String, Long> messageBytesByKind,
        long configurationCalls,
        Map<CoreMetric, Double> metricSums,
        long endNanos) {}
