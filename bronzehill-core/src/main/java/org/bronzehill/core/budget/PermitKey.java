package org.bronzehill.core.budget;

/**
 * Identifies one load for which a permit is requested.
 *
 * @param client instance that requests the permit as holder of the engine
 */
record PermitKey(String client, long incarnation, String engine, long sequence) {

    private static final String SEPARATOR = "|";

    /** Returns the text by which a handover identifies the permit. */
    String toText() {
        return String.join(
                SEPARATOR, client, Long.toString(incarnation), Long.toString(sequence), engine);
    }

    /** Parses the result of {@link #toText}; returns {@code null} if the text has another form. */
    static PermitKey parse(String text) {
        String[] parts = text.split("\\|", 4);
        if (parts.length < 4) {
            return null;
        }
        try {
            return new PermitKey(
                    parts[0], Long.parseLong(parts[1]), parts[3], Long.parseLong(parts[2]));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
