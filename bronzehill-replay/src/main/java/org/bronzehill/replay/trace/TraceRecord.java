package org.bronzehill.replay.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** Record of a trace. {@code at} is the time in milliseconds since the start of the trace. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceRecord.Model.class, name = "model"),
    @JsonSubTypes.Type(value = TraceRecord.Service.class, name = "service"),
    @JsonSubTypes.Type(value = TraceRecord.CallerGone.class, name = "caller-gone"),
    @JsonSubTypes.Type(value = TraceRecord.UpstreamState.class, name = "upstream-state"),
    @JsonSubTypes.Type(value = TraceRecord.Publish.class, name = "configuration"),
    @JsonSubTypes.Type(
            value = TraceRecord.ConfigurationService.class,
            name = "configuration-service"),
    @JsonSubTypes.Type(value = TraceRecord.EngineRestart.class, name = "engine-restart"),
    @JsonSubTypes.Type(value = TraceRecord.LoadFailures.class, name = "load-failures"),
    @JsonSubTypes.Type(value = TraceRecord.Partition.class, name = "partition"),
    @JsonSubTypes.Type(value = TraceRecord.Heal.class, name = "heal"),
    @JsonSubTypes.Type(value = TraceRecord.Pause.class, name = "pause"),
    @JsonSubTypes.Type(value = TraceRecord.Kill.class, name = "kill"),
    @JsonSubTypes.Type(value = TraceRecord.Start.class, name = "start"),
    @JsonSubTypes.Type(value = TraceRecord.Drain.class, name = "drain"),
    @JsonSubTypes.Type(value = TraceRecord.Silence.class, name = "silence"),
    @JsonSubTypes.Type(value = TraceRecord.AnswersLost.class, name = "answers-lost"),
    @JsonSubTypes.Type(value = TraceRecord.SlowLinks.class, name = "slow-links"),
})
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public sealed interface TraceRecord {

    /** Returns the time of the record in milliseconds since the start of the trace. */
    long at();

    /**
     * A caller sends a model request.
     *
     * @param entry instance that receives the request
     * @param crashes whether the request crashes every engine that runs it
     */
    record Model(
            long at,
            String id,
            String entry,
            String caller,
            String kind,
            String adapter,
            long budgetMs,
            int tokens,
            boolean crashes)
            implements TraceRecord {}

    /**
     * A caller sends a service request.
     *
     * @param key idempotency key; empty if the request has none
     */
    record Service(
            long at,
            String id,
            String entry,
            String caller,
            String kind,
            String operation,
            String key,
            long budgetMs)
            implements TraceRecord {
        public Service {
            key = key == null ? "" : key;
        }
    }

    /** The caller closes its connection. */
    record CallerGone(long at, String id) implements TraceRecord {}

    /** The instance list publishes a state of an upstream: live, leaving or absent. */
    record UpstreamState(long at, String upstream, String state) implements TraceRecord {}

    /**
     * Operators publish a configuration.
     *
     * @param pins newly pinned version by adapter, for all request kinds
     */
    record Publish(long at, long number, Map<String, Integer> pins) implements TraceRecord {}

    /**
     * The configuration service changes its mode.
     *
     * @param mode up, down or stale; a stale service keeps serving the configuration that it served
     *     last
     */
    record ConfigurationService(long at, String mode) implements TraceRecord {}

    /** An engine stops; it starts again after {@code forMs} with no adapters loaded. */
    record EngineRestart(long at, String engine, long forMs) implements TraceRecord {}

    /** The weight store fails the given share of loads for {@code forMs}. */
    record LoadFailures(long at, double share, long forMs) implements TraceRecord {}

    /** A partition begins: entry instances on different sides cannot exchange messages. */
    record Partition(long at, List<List<String>> sides) implements TraceRecord {}

    /** The partition ends. */
    record Heal(long at) implements TraceRecord {}

    /** The process is paused for {@code forMs}; it receives its inputs when it resumes. */
    record Pause(long at, String entry, long forMs) implements TraceRecord {}

    /** The process is killed. */
    record Kill(long at, String entry) implements TraceRecord {}

    /** The process starts as a new incarnation. */
    record Start(long at, String entry) implements TraceRecord {}

    /** The process is requested to drain and stop. */
    record Drain(long at, String entry) implements TraceRecord {}

    /**
     * Open connections between the two stop carrying data without being closed; new connections
     * work.
     */
    record Silence(long at, String from, String to) implements TraceRecord {}

    /** For {@code forMs}, the runner executes calls, but its answers are lost. */
    record AnswersLost(long at, String runner, long forMs) implements TraceRecord {}

    /**
     * For {@code forMs}, the given share of peer messages and of requests to upstreams is delayed
     * by up to {@code maxMs}.
     */
    record SlowLinks(long at, double share, long maxMs, long forMs) implements TraceRecord {}
}
