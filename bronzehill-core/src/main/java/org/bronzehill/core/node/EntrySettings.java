package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.model.InstanceRef;

/**
 * Settings of the decision core of one entry instance.
 *
 * @param maxAttempts most attempts at one request, including the first
 * @param pauseLimit gap between two ticks that counts as a pause
 * @param listInterval interval between two reads of the instance list
 * @param hedgeAfter silence before the first chunk after which a repeatable interactive request is
 *     hedged; zero turns hedging off
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
