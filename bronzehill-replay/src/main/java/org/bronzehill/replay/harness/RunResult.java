package org.bronzehill.replay.harness;

import java.util.Map;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.replay.generate.Deployment;

/**
 * Result of a replay.
 *
 * @param configurations published configurations by number
 * @param batchMeters batch meters by engine
 * @param messageBytesByKind size of the messages between instances by kind of message
 * @param loads transfers that the weight store has started
 * @param configurationReads reads that the configuration service has received
 * @param metricSums sum of the recorded values by metric
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
        long configurationReads,
        Map<CoreMetric, Double> metricSums,
        long endNanos) {}
