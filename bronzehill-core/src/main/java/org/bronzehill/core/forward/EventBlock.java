package org.bronzehill.core.forward;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One block of a text/event-stream: the lines up to an empty line.
 *
 * @param id number of the event; {@link EventSplitter#NO_EVENT_ID} if it has none
 */
record EventBlock(Kind kind, long id) {

    enum Kind {
        NUMBERED,

        /** Event without an id, or with an id that is not a number. */
        UNNUMBERED,

        /** No field at all, so that readers skip the block. */
        COMMENT,

        /** Not an event, such as the text of an error or an event with other text inside it. */
        FOREIGN
    }

    private static final Set<String> FIELDS = Set.of("data", "event", "id", "retry");

    /** Field beyond the format, such as the version of the weights. It precedes the others. */
    private static final Pattern EXTENSION = Pattern.compile("[a-z0-9-]+:.*");

    private static final String ID = "id";

    static EventBlock parse(byte[] bytes) {
        long id = EventSplitter.NO_EVENT_ID;
        int ids = 0;
        boolean hasField = false;
        boolean hasExtension = false;
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? line : line.substring(0, colon);
            if (name.isEmpty()) {
                continue;
            }
            if (FIELDS.contains(name)) {
                hasField = true;
                if (name.equals(ID)) {
                    ids++;
                    id = number(line.substring(colon + 1));
                }
            } else if (hasField || !EXTENSION.matcher(line).matches()) {
                return new EventBlock(Kind.FOREIGN, EventSplitter.NO_EVENT_ID);
            } else {
                hasExtension = true;
            }
        }
        if (ids > 1 || (hasExtension && !hasField)) {
            return new EventBlock(Kind.FOREIGN, EventSplitter.NO_EVENT_ID);
        }
        if (!hasField) {
            return new EventBlock(Kind.COMMENT, id);
        }
        return new EventBlock(id < 0 ? Kind.UNNUMBERED : Kind.NUMBERED, id);
    }

    private static long number(String text) {
        try {
            return Math.max(EventSplitter.NO_EVENT_ID, Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            return EventSplitter.NO_EVENT_ID;
        }
    }
}
