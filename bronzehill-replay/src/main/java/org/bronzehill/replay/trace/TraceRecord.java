package org.bronzehill.replay.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/**
 * One line of a trace after its header. {@code at} is in milliseconds since the start of the trace.
 */
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
     * A caller asks for a model answer.
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
     * A caller calls a plain service.
     *
     * @param key idempotency key; empty if there is none
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
     * The operators publish the next configuration number.
     *
     * @param pins new version by adapter, for every kind
     */
    record Publish(long at, long number, Map<String, Integer> pins) implements TraceRecord {}

    /**
     * The configuration service changes its state.
     *
     * @param mode up, down, or stale (it answers with what it held at this moment)
     */
    record ConfigurationService(long at, String mode) implements TraceRecord {}

    /** An engine stops; it starts again after {@code forMs} with no adapters loaded. */
    record EngineRestart(long at, String engine, long forMs) implements TraceRecord {}

    /** The weight store fails this share of all loads for {@code forMs}. */
    record LoadFailures(long at, double share, long forMs) implements TraceRecord {}

    /** Entry instances of different sides cannot exchange messages; both sides keep working. */
    record Partition(long at, List<List<String>> sides) implements TraceRecord {}

    /** Ends a partition. */
    record Heal(long at) implements TraceRecord {}

    /** The process does not run for {@code forMs}; its inputs arrive when it wakes up. */
    record Pause(long at, String entry, long forMs) implements TraceRecord {}

    /** The process ends at once. */
    record Kill(long at, String entry) implements TraceRecord {}

    /** The process starts, as a new incarnation. */
    record Start(long at, String entry) implements TraceRecord {}

    /** The process is asked to shut down gracefully. */
    record Drain(long at, String entry) implements TraceRecord {}

    /** Open connections between the two become silent for ever; new ones work. */
    record Silence(long at, String from, String to) implements TraceRecord {}

    /** The runner carries out calls for {@code forMs}, but its answers are lost. */
    record AnswersLost(long at, String runner, long forMs) implements TraceRecord {}

    /**
     * For {@code forMs}, this share of the messages to peers, and of the orders and requests to
     * upstreams, takes up to {@code maxMs} longer.
     */
    record SlowLinks(long at, double share, long maxMs, long forMs) implements TraceRecord {}
}
