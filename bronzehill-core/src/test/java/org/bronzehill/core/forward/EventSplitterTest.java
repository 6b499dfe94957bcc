package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
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

    private static EventSplitter splitterWith(EventSplitter s, String text) {
        s.accept(bytes(text));
        return s;
    }

    @DataProvider
    public static Object[][] foreignBytes() {
        String head = "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\n";
        return new Object[][] {
            {"{\n\n}\n\n"},
            {"error\n\n"},
            {head},
            {"id: 3\nda" + head},
            {"id: 3\ndata: x" + head},
            {"id: 3\nid: 3\ndata: x\n\n"},
            {"content-type: text/plain\r\n\r\n"}
        };
    }

    /** Guards against the text of an error in the middle of a stream. */
    @Test(dataProvider = "foreignBytes")
    public void bytesThatAreNoEventEndANumberedStream(String foreign) {
        EventSplitter first = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        assertEquals(text(first.accept(bytes(event(2) + foreign + event(3)))), event(2));
        assertEquals(first.fault(), Option.of(EventFault.NO_EVENT));
        EventSplitter next = EventSplitter.after(2);
        assertEquals(text(next.accept(bytes(foreign + event(3)))), "");
        assertEquals(next.fault(), Option.of(EventFault.NO_CONTINUATION));
        next = EventSplitter.after(1);
        assertEquals(text(next.accept(bytes(event(2) + foreign + event(3)))), event(2));
        assertEquals(next.fault(), Option.of(EventFault.NO_EVENT));
    }

    @DataProvider
    public static Object[][] bytesWithoutNumbers() {
        return new Object[][] {
            {"{\n\n}\n\n"}, {"error\n\n"}, {"HTTP/1.1 500 X\r\nA: b\r\n\r\n"}, {": y\n\n"}
        };
    }

    /** Guards against changed bytes in an answer that is no series of numbered events. */
    @Test(dataProvider = "bytesWithoutNumbers")
    public void answerWithoutNumbersIsNotChecked(String foreign) {
        EventSplitter s = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        assertEquals(text(s.accept(bytes("data: x\n\n" + foreign))), "data: x\n\n" + foreign);
        s.accept(bytes("{rest}"));
        assertEquals(s.faultAtEnd(true), Option.none());
        assertEquals(s.faultAtEnd(false), Option.of(EventFault.UNFINISHED));
    }

    /** Guards against two runs that are joined, and against one event that comes twice. */
    @Test
    public void idsOfOneAnswerAreConsecutive() {
        EventSplitter s = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        assertEquals(
                text(s.accept(bytes(event(3) + event(4) + event(4) + event(5)))),
                event(3) + event(4));
        assertEquals(s.fault(), Option.of(EventFault.REPEATED));
        s = splitterWith(EventSplitter.after(4), event(2) + event(4));
        assertEquals(s.fault(), Option.of(EventFault.MISSING));
        s = splitterWith(EventSplitter.after(4), event(3) + event(1));
        assertEquals(s.fault(), Option.of(EventFault.REPEATED));
    }

    /** Guards against an event that a continuation repeats unnoticed, because it has no number. */
    @Test
    public void continuationBeginsWithANumberedEvent() {
        for (String unnumbered : new String[] {"data: y\n\n", "id: -1\ndata: y\n\n"}) {
            EventSplitter s = EventSplitter.after(2);
            assertEquals(text(s.accept(bytes(event(2) + unnumbered + event(3)))), "");
            assertEquals(s.fault(), Option.of(EventFault.NO_CONTINUATION));
            s = EventSplitter.after(2);
            assertEquals(text(s.accept(bytes(event(3) + unnumbered))), event(3) + unnumbered);
            assertEquals(s.fault(), Option.none());
            s = EventSplitter.continuing(EventSplitter.NO_EVENT_ID);
            assertEquals(text(s.accept(bytes(unnumbered))), "");
            assertEquals(s.fault(), Option.of(EventFault.NO_CONTINUATION));
        }
    }

    @Test
    public void weightVersionsAndCommentsAreKept() {
        String sound = "bronzehill-weight-versions: 8\nid: 3\ndata: x\n\n: y\n\n\n" + event(4);
        EventSplitter s = EventSplitter.after(2);
        assertEquals(text(s.accept(bytes(sound))), sound);
        assertEquals(s.fault(), Option.none());
        assertEquals(s.lastId(), 4);
    }

    /** Guards against an unnumbered event that another run repeats. */
    @Test
    public void cannotBeContinuedAfterAnUnnumberedEvent() {
        EventSplitter s = EventSplitter.after(EventSplitter.NO_EVENT_ID);
        assertTrue(splitterWith(s, ": y\n\n").canContinue());
        assertFalse(splitterWith(s, "data: x\n\n").canContinue());
        assertFalse(splitterWith(s, ": y\n\n").canContinue());
        assertTrue(splitterWith(s, event(1) + "data").canContinue());
        assertFalse(splitterWith(s, ": x\n\n").canContinue());
    }

    /** Guards against a stream that ends as complete before its last event. */
    @Test
    public void endWithoutANewEventIsCompleteOnlyIfTheAnswerStatesIt() {
        Option<EventFault> none = Option.none();
        Option<EventFault> unrelated = Option.of(EventFault.NO_CONTINUATION);
        for (String repeated : new String[] {"", ": y\n\n", event(2), event(1) + event(2)}) {
            EventSplitter s = splitterWith(EventSplitter.after(2), repeated);
            assertEquals(s.faultAtEnd(true), none);
            assertEquals(s.faultAtEnd(false), unrelated);
        }
        EventSplitter s = splitterWith(EventSplitter.after(2), event(1));
        assertEquals(s.faultAtEnd(true), unrelated);
        s = splitterWith(EventSplitter.after(2), event(3));
        assertEquals(s.faultAtEnd(true), none);
        assertEquals(s.faultAtEnd(false), none);
        s = splitterWith(EventSplitter.after(2), event(3) + "id: 4\ndata: x");
        assertEquals(s.faultAtEnd(true), Option.of(EventFault.UNFINISHED));
        s = splitterWith(EventSplitter.after(EventSplitter.NO_EVENT_ID), event(3) + "id: 4\nda");
        assertEquals(s.faultAtEnd(true), Option.of(EventFault.UNFINISHED));
        s = splitterWith(EventSplitter.after(EventSplitter.NO_EVENT_ID), event(3) + "id: 4");
        assertEquals(s.faultAtEnd(true), none);
        assertEquals(s.faultAtEnd(false), Option.of(EventFault.UNFINISHED));
    }
}
