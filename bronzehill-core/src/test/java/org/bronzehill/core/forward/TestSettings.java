package org.bronzehill.core.forward;

import java.time.Duration;

/** Settings of instances in tests. */
final class TestSettings {

    private TestSettings() {}

    /** Returns the settings of an instance in data centre {@code a}. */
    static ForwardSettings of(String instance, double retryRatio, double retrySlack) {
        return new ForwardSettings(
                instance,
                "a",
                retryRatio,
                retrySlack,
                Duration.ofSeconds(10),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3));
    }

    /** Returns the settings of an instance with a usual retry budget. */
    static ForwardSettings of(String instance) {
        return of(instance, 0.2, 50);
    }
}
