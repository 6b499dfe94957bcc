package org.bronzehill.entry.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.result.ResultCode;

/** Metrics of the instance in the Prometheus text format. */
public final class Metrics {

    /**
     * Largest number of label values of the core's metrics, such as kinds, engines and result
     * codes; values beyond it are counted as "other". It bounds the memory of the registry.
     */
    private static final int MAX_LABEL_VALUES = 512;

    private static final String OTHER_LABEL = "other";
    private static final String PREFIX = "bronzehill_";

    private static final Set<CoreMetric> GAUGES =
            Set.of(
                    CoreMetric.QUEUE_LENGTH,
                    CoreMetric.RETRY_BUDGET_TOKENS,
                    CoreMetric.LEASES_HELD,
                    CoreMetric.CONFIGURATION_NUMBER,
                    CoreMetric.CONFIGURATION_AGE_SECONDS,
                    CoreMetric.PEERS_ALIVE);

    private static final Set<CoreMetric> HISTOGRAMS =
            Set.of(
                    CoreMetric.LOAD_STALL_SECONDS,
                    CoreMetric.BATCH_EFFICIENCY_RATIO,
                    CoreMetric.QUEUE_WAIT_SECONDS);

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Map<CoreMetric, Recorder> recorders = new EnumMap<>(CoreMetric.class);
    private final Set<String> recordedLabels = new HashSet<>();
    private final Counter results;
    private final Histogram durations;
    private final Counter lostInputs;
    private final Counter refusedPeerMessages;

    private interface Recorder {
        void record(String label, double value);
    }

    private Metrics() {
        for (CoreMetric s : CoreMetric.values()) {
            recorders.put(s, recorder(s));
        }
        results =
                Counter.builder()
                        .name(PREFIX + "requests_total")
                        .help("Requests by result code")
                        .labelNames("kind", "result")
                        .register(registry);
        durations =
                Histogram.builder()
                        .name(PREFIX + "request_duration_seconds")
                        .help("Time from arrival to the end of the answer")
                        .labelNames("kind")
                        .classicOnly()
                        .register(registry);
        lostInputs =
                Counter.builder()
                        .name(PREFIX + "inputs_lost_total")
                        .help("Inputs that found the core's ring buffer full")
                        .register(registry);
        // Also counts messages to a peer whose address is unknown.
        refusedPeerMessages =
                Counter.builder()
                        .name(PREFIX + "peer_queue_full_total")
                        .help("Messages refused by a full queue to a peer")
                        .labelNames("peer")
                        .register(registry);
    }

    /** Creates metrics with a new registry. */
    public static Metrics create() {
        return new Metrics();
    }

    private Recorder recorder(CoreMetric metric) {
        String name = PREFIX + metric.name().toLowerCase(Locale.ROOT);
        String help = metric.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        if (GAUGES.contains(metric)) {
            Gauge gauge =
                    Gauge.builder().name(name).help(help).labelNames("label").register(registry);
            gauge.initLabelValues("");
            return (label, value) -> gauge.labelValues(label).set(value);
        }
        if (HISTOGRAMS.contains(metric)) {
            Histogram histogram =
                    Histogram.builder()
                            .name(name)
                            .help(help)
                            .labelNames("label")
                            .classicOnly()
                            .register(registry);
            histogram.initLabelValues("");
            return (label, value) -> histogram.labelValues(label).observe(value);
        }
        Counter counter =
                Counter.builder()
                        .name(name + "_total")
                        .help(help)
                        .labelNames("label")
                        .register(registry);
        counter.initLabelValues("");
        return (label, value) -> counter.labelValues(label).inc(Math.max(0, value));
    }

    /** Records a value of a core metric; called on the core thread only. */
    public void record(CoreMetric metric, String label, double value) {
        String bounded =
                recordedLabels.contains(label) || recordedLabels.size() < MAX_LABEL_VALUES
                        ? label
                        : OTHER_LABEL;
        recordedLabels.add(bounded);
        recorders.get(metric).record(bounded, value);
    }

    /** Records the result and duration of a request. */
    public void recordRequest(String kind, ResultCode code, double seconds) {
        results.labelValues(kind, code.name()).inc();
        durations.labelValues(kind).observe(seconds);
    }

    /** Counts an input that was lost because the core's ring buffer was full. */
    public void inputLost() {
        lostInputs.inc();
    }

    /**
     * Counts a message of the core that was refused because the queue for the peer was full or the
     * peer's address was unknown.
     */
    public void peerMessageRefused(String peer) {
        refusedPeerMessages.labelValues(peer).inc();
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Registers a counter whose value is read at each scrape. */
    public void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
