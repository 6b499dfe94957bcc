package org.bronzehill.replay.generate;

import java.util.Locale;

/** Workloads and faults of generated traces. */
public enum Scenario {
    /** Steady traffic with heavily skewed popularity. */
    STEADY,
    /** Popularity changes completely in the middle. */
    POPULARITY_SHIFT,
    /** Engines restart with no adapters loaded. */
    ENGINE_RESTART,
    /** The weight store fails most loads for a while. */
    FAILING_LOADS,
    /** The configuration service is down while a new number is published. */
    CONFIGURATION_DOWN,
    /** The entry instances are separated into two sides and joined again. */
    PARTITION,
    /** A process sleeps for several seconds and wakes up late. */
    LATE_WAKING,
    /** An upstream is marked as leaving. */
    LEAVING_UPSTREAM,
    /** A request crashes each engine that runs it and is sent again. */
    CRASHING_REQUEST,
    /** Open connections become silent for ever. */
    SILENT_CONNECTION,
    /** An instance is killed and started again. */
    KILLED_INSTANCE,
    /** An instance is stopped gracefully. */
    PLANNED_STOP,
    /** Runners carry out acts, but their answers are lost, and the callers send them again. */
    LOST_ANSWERS,
    /** Some messages, orders and requests arrive seconds late. */
    SLOW_LINKS;

    /** Returns the name used in file names and on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the scenario with that label. */
    public static Scenario ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
