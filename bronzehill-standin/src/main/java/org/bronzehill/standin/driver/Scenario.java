package org.bronzehill.standin.driver;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Fault scenario of a rehearsal with real processes. */
enum Scenario {
    /** Kills entry instances while once-only acts are in flight. */
    KILL_ONCE_ONLY,
    /** Pauses an entry instance for 15 s, or for 6 s in the short form. */
    PAUSE,
    /** Kills engines while they load adapters. */
    ENGINE_KILL_LOADING,
    /** Stops the configuration service and restarts it with an older number. */
    CONFIGURATION_OUTAGE,
    /** Silences the open connections to the upstreams and the platform services. */
    SILENT_CONNECTIONS,
    /** Replaces every entry instance under load, or two of them in the short form. */
    ROLLING_REPLACE,
    /** Sends a request that crashes each engine that runs it. */
    CRASH_REQUEST,
    /** Sets upstreams to leaving. */
    LEAVING_UPSTREAM;

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Optional<Scenario> ofLabel(String label) {
        return Arrays.stream(values()).filter(s -> s.label().equals(label)).findFirst();
    }

    static List<String> labels() {
        return Arrays.stream(values()).map(Scenario::label).toList();
    }
}
