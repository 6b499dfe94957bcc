package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/** Tests route matching by host and longest prefix, and the split between services. */
public class RoutingConfigurationTest {

    private static Route route(String name, String host, String prefix, ServiceShare... shares) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                0,
                List.of(shares),
                1,
                Duration.ofSeconds(2));
    }

    private final RoutingConfiguration configuration =
            RoutingConfiguration.of(
                    3,
                    List.of(
                            route("short", "h.example", "/a/", new ServiceShare("s", 1)),
                            route("long", "h.example", "/a/b/", new ServiceShare("s", 1)),
                            route("other", "g.example", "/a/b/c/", new ServiceShare("s", 1))),
                    List.of(),
                    CallerLimits.INITIAL);

    @Test
    public void longestPrefixOfTheHostWins() {
        assertEquals(configuration.match("h.example", "/a/b/c/d").get().name(), "long");
        assertEquals(configuration.match("H.example:80", "/a/bc").get().name(), "short");
        assertTrue(configuration.match("h.example", "/a").isEmpty());
        assertTrue(configuration.match("x.example", "/a/").isEmpty());
    }

    @Test
    public void weightsSplitRequests() {
        Route split = route("r", "h", "/", new ServiceShare("s", 90), new ServiceShare("t", 10));
        assertEquals(split.serviceAt(0.0), "s");
        assertEquals(split.serviceAt(0.899), "s");
        assertEquals(split.serviceAt(0.9), "t");
    }
}
