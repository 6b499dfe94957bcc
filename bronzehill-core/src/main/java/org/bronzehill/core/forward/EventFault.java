package org.bronzehill.core.forward;

/** Reasons why an answer is not, or no longer, a sound stream of events. */
public enum EventFault {
    /** The next event does not have the next id. */
    MISSING("event-missing"),

    /** The answer goes back to an event that it has already sent. */
    REPEATED("event-repeated"),

    /** Bytes after numbered events are not an event. */
    NO_EVENT("no-event"),

    /** The answer does not continue the events that were passed on before. */
    NO_CONTINUATION("no-continuation"),

    /** The answer ends inside an event. */
    UNFINISHED("closed-inside-event"),

    /** An event is too long, or too many bytes of earlier events are repeated. */
    OVERLONG("too-much-event-data");

    private final String label;

    EventFault(String label) {
        this.label = label;
    }

    /** Returns the name in log lines. */
    public String label() {
        return label;
    }
}
