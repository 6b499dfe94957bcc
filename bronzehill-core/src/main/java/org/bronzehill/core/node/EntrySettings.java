package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.model.InstanceRef;

/**
 * Settings of the decision core of one entry instance.
 *
 * @param maxAttempts maximum number of attempts per request, including the first
 * @param pauseLimit gap between two inputs above which the process counts as paused
 * @param listInterval interval between two reads of the instance list
 * @param hedgeAfter time without a first chunk after which a repeatable interactive request is
 *     hedged, in addition to the expected load stall of its route; zero disables hedging
 */
public record EntrySettings(
        InstanceRef self,
        int maxAttempts,
        Duration pauseLimit,
        Duration listInterval,
        Duration hedgeAfter) {

    /** Returns the default settings of an instance. */
    public static EntrySettings of(InstanceRef self) {
        return new EntrySettings(
                self, 3, Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(2));
    }
}
