package org.bronzehill.replay.check;

import java.util.Locale;

/**
 * Violation of a property.
 *
 * @param property P1 to P8, or {@code exception} if the run threw one
 * @param at nanoseconds since the start of the run
 */
public record Violation(String property, long at, String text) {

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s at %.3f s: %s", property, at / 1e9, text);
    }
}
