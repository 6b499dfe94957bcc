package org.bronzehill.replay.generate;

import java.util.Locale;

/**
 * Workloads and faults of generated traces. In all of them, the popularity of adapters is skewed.
 */
public enum Scenario {
    /** Steady traffic without faults, during which a configuration is published. */
    STEADY,
    /** The popularity of adapters changes completely halfway through the traffic. */
    POPULARITY_SHIFT,
    /** Engines restart with no adapters loaded. */
    ENGINE_RESTART,
    /** The weight store fails most loads for some seconds. */
    FAILING_LOADS,
    /** The configuration service is down or stale while a new number is published. */
    CONFIGURATION_DOWN,
    /** A network partition separates the entry instances into two sides and then heals. */
    PARTITION,
    /** A process is paused for up to 15 s and resumes. */
    LATE_WAKING,
    /** The instance list publishes an upstream as leaving, and later as live again. */
    LEAVING_UPSTREAM,
    /** A request crashes each engine that runs it, and its caller resends it. */
    CRASHING_REQUEST,
    /** Open connections stop carrying data without being closed. */
    SILENT_CONNECTION,
    /** An instance is killed and started again. */
    KILLED_INSTANCE,
    /** An instance is drained and stops. */
    PLANNED_STOP,
    /**
     * Runners execute calls, but their answers are lost. As in every scenario, some callers resend
     * their once-only requests.
     */
    LOST_ANSWERS,
    /** Some peer messages and requests to upstreams arrive seconds late. */
    SLOW_LINKS;

    /** Returns the name used in file names and on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the scenario with the given label. */
    public static Scenario ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
