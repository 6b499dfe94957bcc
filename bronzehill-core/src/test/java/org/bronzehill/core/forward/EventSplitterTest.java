package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests streams whose events arrive in pieces, are interrupted, and are continued. */
public class EventSplitterTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: x" + id + "\n\n";
    }

    @Test
    public void returnsCompleteEventsOnly() {
        EventSplitter s = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        assertEquals(text(s.accept(bytes("id: 1\nda"))), "");
        assertEquals(text(s.accept(bytes("ta: x1\n\nid: 2"))), event(1));
        assertEquals(s.lastId(), 1);
        assertEquals(text(s.incompleteEvent()), "id: 2");
    }

    /**
     * Guards against an event that is sent twice when a stream is continued by another upstream.
     */
    @Test
    public void skipsEventsAlreadyPassedOn() {
        EventSplitter s = EventSplitter.after(2);
        assertEquals(text(s.accept(bytes(event(1) + event(2) + event(3)))), event(3));
    }

    /** Guards against a stream with a missing event that appears complete. */
    @Test
    public void detectsGap() {
        EventSplitter s = EventSplitter.after(2);
        assertEquals(text(s.accept(bytes(event(3) + event(5) + event(6)))), event(3));
        assertTrue(s.hasGap());
        assertEquals(s.lastId(), 3);
    }

    @Test
    public void acceptsCarriageReturnsAndOtherFields() {
        EventSplitter s = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        String event = "other: 3\r\nid: 7\r\ndata: y\r\n\r\n";
        assertEquals(text(s.accept(bytes(event))), event);
        assertEquals(s.lastId(), 7);
        assertFalse(s.hasGap());
    }

    /** Guards against unbounded memory use by an event that does not end. */
    @Test
    public void endlessEventIsOverlong() {
        EventSplitter splitter = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        byte[] part = new byte[64 * 1024];
        java.util.Arrays.fill(part, (byte) 'x');
        for (int i = 0; i < 100; i++) {
            splitter.accept(part);
        }
        assertTrue(splitter.isOverlong());
        assertTrue(
                splitter.incompleteEvent().length < 2 << 20,
                splitter.incompleteEvent().length + " bytes held");
    }
}
