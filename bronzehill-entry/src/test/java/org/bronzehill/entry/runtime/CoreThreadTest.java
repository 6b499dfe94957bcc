package org.bronzehill.entry.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.EntryCore;
import org.bronzehill.core.node.EntrySettings;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.time.SystemTimeSource;
import org.testng.annotations.Test;

/** Tests the ring buffer and the fault handling of the core thread. */
public class CoreThreadTest {

    private static final int CAPACITY = 64;

    private static EntryCore core() {
        InstanceRef self = new InstanceRef("entry-1", 1, "127.0.0.1", 7070, "dc-1", "r-1");
        return EntryCore.create(
                EntrySettings.of(self), SystemTimeSource.instance(), new SplittableRandom(1));
    }

    /**
     * Guards against blocking on a full ring buffer, and against new requests that leave no space
     * for the outcomes of requests in flight.
     */
    @Test
    public void refusesRequestsBeforeTheRingBufferIsFull() {
        AtomicInteger lost = new AtomicInteger();
        CoreThread thread =
                CoreThread.create(
                        CAPACITY, core(), effect -> {}, lost::incrementAndGet, item -> {});
        int requests = 0;
        while (thread.offerRequest(new Input.CallerDisconnected("q"))) {
            requests++;
        }
        assertTrue(requests < CAPACITY, "requests fill the whole ring: " + requests);
        for (int i = requests; i < CAPACITY; i++) {
            thread.accept(new Input.CallerDisconnected("q"));
        }
        assertEquals(lost.get(), 0);
        thread.accept(new Input.CallerDisconnected("q"));
        assertEquals(lost.get(), 1);
        assertEquals(thread.queued(), CAPACITY);
        assertTrue(thread.query(c -> 1).isCompletedExceptionally());
    }

    /** Guards against an exception for one input that ends the thread and so all requests. */
    @Test
    public void continuesAfterAFailingEffect() {
        List<Object> faults = Collections.synchronizedList(new ArrayList<>());
        List<Effect> effects = Collections.synchronizedList(new ArrayList<>());
        CoreThread thread =
                CoreThread.create(
                        CAPACITY,
                        core(),
                        effect -> {
                            effects.add(effect);
                            throw new IllegalStateException("fault of the test");
                        },
                        () -> {},
                        faults::add);
        thread.start();
        String phase = thread.query(c -> c.status().phase().name()).join();
        assertFalse(phase.isEmpty());
        thread.close();
        assertFalse(effects.isEmpty());
        assertFalse(faults.isEmpty());
    }
}
