package org.bronzehill.config;

import java.util.Locale;

/** Urgency class of a kind of request, in order from the most to the least urgent. */
public enum Urgency {
    /** A person waits for the answer, for example in a chat. */
    INTERACTIVE,
    /** Must be answered within seconds. */
    PROMPT,
    /** Must be answered within the work shift. */
    SHIFT,
    /** Must be ready by the next morning; may be delayed and grouped into batches. */
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
