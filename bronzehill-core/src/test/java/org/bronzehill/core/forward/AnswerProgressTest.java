package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link AnswerProgress}. */
public class AnswerProgressTest {

    @Test
    public void theLongestGapIsKept() {
        AnswerProgress answer = new AnswerProgress();
        assertFalse(answer.hasBegun());
        answer.onBegun(7);
        answer.onContinued(30);
        answer.onContinued(20);
        assertTrue(answer.hasBegun());
        assertEquals(answer.firstByteAt(), 7);
        assertEquals(answer.longestGapNanos(), 30);
    }

    @Test
    public void earlierRequestsBelongToTheRunningAttempt() {
        AnswerProgress answer = new AnswerProgress();
        assertFalse(answer.isConnected());
        answer.onConnected(3);
        assertTrue(answer.isConnected());
        assertEquals(answer.earlierRequests(), 3);
        answer.onDisconnected();
        assertFalse(answer.isConnected());
    }
}
