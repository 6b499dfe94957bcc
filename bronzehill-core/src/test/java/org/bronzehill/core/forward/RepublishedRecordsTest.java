package org.bronzehill.core.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests which records of the store all instances must read soon. In a large fleet, the collectors
 * report only these to the instances that do not watch the store.
 */
public class RepublishedRecordsTest {

    private final ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
    private final Forwarder forwarder = rig.forwarder();

    /**
     * Guards against a live upstream that other instances remove at the end of the grace period.
     */
    @Test
    public void missingUpstreamThatIsPublishedAgainIsNews() {
        assertFalse(forwarder.onUpstream(ForwardRig.plain("p1", 100)));
        forwarder.onStoreRestored();
        forwarder.onUpstreamRemoved("p1");
        assertTrue(forwarder.onUpstream(ForwardRig.plain("p1", 100)));
        assertFalse(forwarder.onUpstream(ForwardRig.plain("p1", 100)));
    }

    /**
     * Guards against instances that started after the return and hear late of a version which their
     * collector had known before it.
     */
    @Test
    public void knownVersionThatIsPublishedAgainIsNews() {
        assertTrue(forwarder.onConfiguration(configuration(6)));
        assertTrue(forwarder.onConfiguration(configuration(6)));
        assertFalse(forwarder.onConfiguration(configuration(5)));
        AdapterRef adapter = new AdapterRef("m1", "a1");
        assertTrue(forwarder.onAdapterVersion(adapter, 2));
        assertTrue(forwarder.onAdapterVersion(adapter, 2));
        assertFalse(forwarder.onAdapterVersion(adapter, 1));
    }

    private static RoutingConfiguration configuration(long version) {
        return RoutingConfiguration.of(version, List.of(), List.of(), CallerLimits.INITIAL);
    }
}
