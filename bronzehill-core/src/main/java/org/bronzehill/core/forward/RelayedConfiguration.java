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

    /**
     * Time in which instances that reach the store read a new configuration. Until then, those that
     * have not read it are not passed over, since most of them may not have.
     */
    private static final Duration SPREAD_TIME = Duration.ofSeconds(2);

    private final TimeSource time;
    private long newest;
    private long firstUsedAt;
    private long usedAt;

    RelayedConfiguration(TimeSource time) {
        this.time = time;
    }

    /** Records the version by which another instance has served a request. */
    void onUsed(long version) {
        long known = newest();
        if (version > known) {
            firstUsedAt = time.nanoTime();
        }
        if (version >= known) {
            newest = version;
            usedAt = time.nanoTime();
        }
    }

    /** Returns the newest version used in the last seconds; 0 if there was none. */
    long newest() {
        return time.nanoTime() - usedAt < LIFETIME.toNanos() ? newest : 0;
    }

    /** Returns the oldest version by which others may serve requests; 0 if any may. */
    long required() {
        return time.nanoTime() - firstUsedAt >= SPREAD_TIME.toNanos() ? newest() : 0;
    }
}
