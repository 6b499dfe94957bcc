package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests how long the configurations of other instances bind an instance that relayed to them. */
public class RelayedConfigurationTest {

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final RelayedConfiguration configuration = new RelayedConfiguration(scheduler.time());

    /** Guards against an instance that relays for ever because the store has lost a version. */
    @Test
    public void versionThatIsNoLongerUsedExpires() {
        configuration.onUsed(7);
        scheduler.advance(Duration.ofSeconds(4));
        configuration.onUsed(6);
        assertEquals(configuration.newest(), 7);
        scheduler.advance(Duration.ofSeconds(1));
        assertEquals(configuration.newest(), 0);
        configuration.onUsed(6);
        assertEquals(configuration.newest(), 6);
    }

    /** Guards against refusals by most instances while a new configuration spreads. */
    @Test
    public void otherInstancesHaveTimeToReadTheVersion() {
        configuration.onUsed(7);
        scheduler.advance(Duration.ofMillis(1900));
        configuration.onUsed(7);
        assertEquals(configuration.required(), 0);
        scheduler.advance(Duration.ofMillis(100));
        assertEquals(configuration.required(), 7);
        scheduler.advance(Duration.ofSeconds(5));
        assertEquals(configuration.required(), 0);
    }
}
