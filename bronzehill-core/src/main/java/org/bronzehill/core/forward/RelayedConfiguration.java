package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * Newest version of the configuration by which other instances have served requests that this one
 * relayed. Until it is in force here, callers must not be served by an older one.
 */
final class RelayedConfiguration {

    /** Time within which a configuration is in force at all instances that reach the store. */
    private static final Duration LIFETIME = Duration.ofSeconds(5);

    private final TimeSource time;
    private long newest;
    private long usedAt;

    RelayedConfiguration(TimeSource time) {
        this.time = time;
    }

    /** Records the version by which another instance has served a request. */
    void onUsed(long version) {
        if (version >= newest()) {
            newest = version;
            usedAt = time.nanoTime();
        }
    }

    /** Returns the newest version used in the last seconds; 0 if there was none. */
    long newest() {
        return time.nanoTime() - usedAt < LIFETIME.toNanos() ? newest : 0;
    }
}
