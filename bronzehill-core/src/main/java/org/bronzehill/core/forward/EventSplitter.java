package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;

/**
 * Splits a text/event-stream into complete events, so that an interrupted stream can be continued
 * by another upstream after the last complete event. Events that were passed on before are skipped.
 *
 * <p>The ids of the events of one answer are consecutive. An answer that continues a stream begins
 * with an event that was passed on before or with the next one. After a numbered event, and in a
 * continuation from its beginning, only events and comments may follow, and a continuation may send
 * an event without an id only after a new event. Answers without numbered events that continue
 * nothing are not checked.
 */
public final class EventSplitter {

    /** Value in place of an event id: the event has none, or no event with an id was passed on. */
    public static final long NO_EVENT_ID = -1;

    /**
     * Largest size of one event, and largest total size of the skipped events. A stream that
     * exceeds either is invalid. Regular events contain a few tokens.
     */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Size up to which the buffer of an event is kept for the next one. */
    private static final int MAX_KEPT_BYTES = 16 << 10;

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final boolean continuation;
    private long lastId;
    private long lastIdOfAnswer = NO_EVENT_ID;
    private boolean hasNewEvent;
    private boolean lastHasNumber = true;
    private EventFault fault;
    private int lineLength;
    private long dropped;

    private EventSplitter(long lastId, boolean continuation) {
        this.lastId = lastId;
        this.continuation = continuation;
    }

    /**
     * Creates a splitter.
     *
     * @param lastId id of the last event that was passed on; {@link #NO_EVENT_ID} if the answer
     *     continues nothing
     */
    public static EventSplitter after(long lastId) {
        return new EventSplitter(lastId, lastId != NO_EVENT_ID);
    }

    /**
     * Creates a splitter of an answer that continues a stream of which something was passed on.
     *
     * @param lastId id of the last event that was passed on; {@link #NO_EVENT_ID} if there was none
     */
    public static EventSplitter continuing(long lastId) {
        return new EventSplitter(lastId, true);
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
        if (fault != null) {
            return;
        }
        EventBlock block = EventBlock.parse(event);
        fault = faultOf(block);
        if (fault != null) {
            return;
        }
        if (block.kind() == EventBlock.Kind.NUMBERED) {
            lastIdOfAnswer = block.id();
            hasNewEvent |= block.id() > lastId;
            lastId = Math.max(lastId, block.id());
        }
        if (continuation && !hasNewEvent) {
            dropped += event.length;
        } else {
            whole.writeBytes(event);
            if (block.kind() != EventBlock.Kind.COMMENT) {
                lastHasNumber = block.kind() == EventBlock.Kind.NUMBERED;
            }
        }
    }

    /** Returns why the block must not follow what precedes it, or null. */
    private EventFault faultOf(EventBlock block) {
        return switch (block.kind()) {
            case COMMENT -> null;
            case NUMBERED -> faultOfId(block.id());
            case UNNUMBERED -> continuation && !hasNewEvent ? EventFault.NO_CONTINUATION : null;
            case FOREIGN -> {
                if (continuation && !hasNewEvent) {
                    yield EventFault.NO_CONTINUATION;
                }
                yield lastId == NO_EVENT_ID ? null : EventFault.NO_EVENT;
            }
        };
    }

    private EventFault faultOfId(long id) {
        if (lastIdOfAnswer != NO_EVENT_ID) {
            if (id <= lastIdOfAnswer) {
                return EventFault.REPEATED;
            }
            return id > lastIdOfAnswer + 1 ? EventFault.MISSING : null;
        }
        return lastId != NO_EVENT_ID && id > lastId + 1 ? EventFault.MISSING : null;
    }

    /**
     * Returns why the answer must not end here as complete; empty if it may.
     *
     * <p>A continuation without a new event may end if all events had been sent before. A delimited
     * answer states this, unless it repeats events and stops before the last one that was passed
     * on. The end of a connection states nothing.
     *
     * @param delimited whether the body has a length or chunks, so that its end is known
     */
    public Option<EventFault> faultAtEnd(boolean delimited) {
        if (fault().isDefined()) {
            return fault();
        }
        if (pending.size() > 0) {
            boolean sound = delimited && !continuation && mayBeLast(pending.toByteArray());
            return sound ? Option.none() : Option.of(EventFault.UNFINISHED);
        }
        if (!continuation || hasNewEvent) {
            return Option.none();
        }
        boolean reachesLast = lastIdOfAnswer == NO_EVENT_ID || lastIdOfAnswer == lastId;
        return delimited && reachesLast ? Option.none() : Option.of(EventFault.NO_CONTINUATION);
    }

    private boolean mayBeLast(byte[] unterminated) {
        return faultOf(EventBlock.parse(unterminated)) == null;
    }

    /** Returns the number of bytes after the last complete event. */
    public int incompleteBytes() {
        return pending.size();
    }

    /** Returns the bytes after the last complete event. */
    public byte[] incompleteEvent() {
        return pending.toByteArray();
    }

    /** Returns why the answer is not a sound stream; nothing is returned after the fault. */
    public Option<EventFault> fault() {
        return isOverlong() ? Option.of(EventFault.OVERLONG) : Option.of(fault);
    }

    /** Returns whether an event is missing between two others. */
    public boolean hasGap() {
        return fault == EventFault.MISSING;
    }

    /** Returns whether an event is too long, or too many bytes of earlier events are repeated. */
    public boolean isOverlong() {
        return pending.size() > MAX_BUFFERED_BYTES || dropped > MAX_BUFFERED_BYTES;
    }

    /**
     * Returns whether another answer can go on after the events that were returned. It cannot after
     * an event without a number, which it might repeat.
     */
    public boolean canContinue() {
        return lastHasNumber;
    }

    /** Returns the id of the last event, or {@link #NO_EVENT_ID}. */
    public long lastId() {
        return lastId;
    }
}
