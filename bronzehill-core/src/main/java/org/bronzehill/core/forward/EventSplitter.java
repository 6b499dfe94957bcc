package org.bronzehill.core.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a text/event-stream into complete events, so that an interrupted stream can be continued
 * by another upstream after the last complete event. Events that were passed on before are skipped.
 */
public final class EventSplitter {

    /** Value in place of an event id: the event has none, or no event with an id was passed on. */
    public static final long NO_EVENT_ID = -1;

    private static final String ID_FIELD = "id:";

    /**
     * Largest size of one event, and largest total size of the skipped events. A stream that
     * exceeds either is invalid. Regular events contain a few tokens.
     */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Size up to which the buffer of an event is kept for the next one. */
    private static final int MAX_KEPT_BYTES = 16 << 10;

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private long lastId;
    private boolean gap;
    private int lineLength;
    private long dropped;

    private EventSplitter(long lastId) {
        this.lastId = lastId;
    }

    /**
     * Creates a splitter.
     *
     * @param lastId id of the last event that was passed on, or {@link #NO_EVENT_ID}
     */
    public static EventSplitter after(long lastId) {
        return new EventSplitter(lastId);
    }

    /** Adds bytes and returns those of the events that are complete now. */
    public byte[] accept(byte[] bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(bytes.length + pending.size());
        for (byte b : bytes) {
            if (isOverlong()) {
                break;
            }
            pending.write(b);
            if (b == '\n') {
                if (lineLength == 0) {
                    endEvent(whole);
                }
                lineLength = 0;
            } else if (b != '\r') {
                lineLength++;
            }
        }
        return whole.toByteArray();
    }

    private void endEvent(ByteArrayOutputStream whole) {
        byte[] event = pending.toByteArray();
        if (event.length > MAX_KEPT_BYTES) {
            pending = new ByteArrayOutputStream();
        } else {
            pending.reset();
        }
        long id = idOf(event);
        if (id != NO_EVENT_ID) {
            if (id <= lastId) {
                dropped += event.length;
                return;
            }
            gap |= lastId != NO_EVENT_ID && id != lastId + 1;
            if (gap) {
                return;
            }
            lastId = id;
        }
        whole.writeBytes(event);
    }

    private static long idOf(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    return Long.parseLong(line.substring(ID_FIELD.length()).trim());
                } catch (NumberFormatException e) {
                    return NO_EVENT_ID;
                }
            }
        }
        return NO_EVENT_ID;
    }

    /** Returns the number of bytes after the last complete event. */
    public int incompleteBytes() {
        return pending.size();
    }

    /** Returns the bytes after the last complete event. */
    public byte[] incompleteEvent() {
        return pending.toByteArray();
    }

    /**
     * Returns whether an event is missing between two others. Events with an id are no longer
     * returned after the gap.
     */
    public boolean hasGap() {
        return gap;
    }

    /** Returns whether an event is too long, or too many bytes of earlier events are repeated. */
    public boolean isOverlong() {
        return pending.size() > MAX_BUFFERED_BYTES || dropped > MAX_BUFFERED_BYTES;
    }

    /** Returns the id of the last event, or {@link #NO_EVENT_ID}. */
    public long lastId() {
        return lastId;
    }
}
