package org.bronzehill.replay.check;

import java.util.Locale;

/**
 * A property that did not hold.
 *
 * @param property P1 to P8
 * @param at nanoseconds since the start of the run
 */
public record Violation(String property, long at, String text) {

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s at %.3f s: %s", property, at / 1e9, text);
    }
}
