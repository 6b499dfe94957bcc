package org.bronzehill.config;

import java.util.Locale;

/** Urgency class of a kind of request, from the most to the least urgent. */
public enum Urgency {
    /** Someone waits for the answer, such as a driver in the yard. */
    INTERACTIVE,
    /** Answered within seconds. */
    PROMPT,
    /** Answered within the shift. */
    SHIFT,
    /** Ready by the next morning; may be grouped and delayed. */
    OVERNIGHT;

    /** Returns whether this class is more urgent than {@code other}. */
    public boolean isMoreUrgentThan(Urgency other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the name used in declarations. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
