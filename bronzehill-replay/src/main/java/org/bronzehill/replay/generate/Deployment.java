package org.bronzehill.replay.generate;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.Limits;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.config.Urgency;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;
import org.bronzehill.core.model.UpstreamKind;

/**
 * Deployment under replay: entry instances, upstreams, limits and initial configuration. Its
 * adapters belong to four teams.
 *
 * @param oneWayLatency latency of a message between data centres
 * @param traffic share of the traffic by request kind
 * @param service name of the service that the application runners offer
 */
public record Deployment(
        String name,
        Shape shape,
        Duration oneWayLatency,
        Limits limits,
        Policy policy,
        List<KindSpec> kinds,
        Map<String, Double> traffic,
        String service) {

    /** Operation of all service requests. */
    public static final String OPERATION = "call";

    private static final int TEAMS = 4;
    private static final String REGION = "r1";

    /** Size of a deployment; adapter slots and batch size are those of each engine. */
    public record Shape(
            int dataCentres,
            int entries,
            int engines,
            int runners,
            int adapters,
            int adapterSlots,
            int batchSize) {}

    /** Returns the deployment with the given name. */
    public static Deployment named(String name) {
        return switch (name) {
            case "driftless" -> driftless(name, new Shape(3, 9, 8, 3, 3000, 48, 16));
            case "sialkot" -> sialkot(name, new Shape(4, 8, 6, 4, 3000, 48, 16));
            case "driftless-small" -> driftless(name, new Shape(2, 5, 3, 2, 40, 6, 4));
            case "sialkot-small" -> sialkot(name, new Shape(2, 5, 3, 2, 40, 6, 4));
            default -> throw new IllegalArgumentException("unknown deployment: " + name);
        };
    }

    /** Returns a deployment like driftless of another size, for measurements of scaling. */
    public static Deployment scaled(Shape shape) {
        return driftless("scaled", shape);
    }

    private static Deployment driftless(String name, Shape shape) {
        Map<String, Double> traffic = new LinkedHashMap<>();
        traffic.put("route-chat", 0.45);
        traffic.put("pickup-lookup", 0.2);
        traffic.put("pickup-confirmation", 0.05);
        traffic.put("tank-summary", 0.2);
        traffic.put("overnight-route-plan", 0.1);
        return new Deployment(
                name,
                shape,
                Duration.ofNanos(500_000),
                new Limits(4, 2, 16, 1 << 20, 1024, 4096, 2000),
                new Policy(1.0, 0.2, OwnershipScope.REGION),
                List.of(
                        model("route-chat", Urgency.INTERACTIVE, 8, 4),
                        service("pickup-lookup", Urgency.INTERACTIVE, false, "pickups"),
                        service("pickup-confirmation", Urgency.PROMPT, true, "pickups"),
                        model("tank-summary", Urgency.SHIFT, 120, 2),
                        model("overnight-route-plan", Urgency.OVERNIGHT, 600, 1)),
                traffic,
                "pickups");
    }

    private static Deployment sialkot(String name, Shape shape) {
        Map<String, Double> traffic = new LinkedHashMap<>();
        traffic.put("thread-tension", 0.3);
        traffic.put("order-status", 0.1);
        traffic.put("bobbin-withdrawal", 0.05);
        traffic.put("quality-query", 0.25);
        traffic.put("overnight-batch", 0.3);
        return new Deployment(
                name,
                shape,
                Duration.ofNanos(1_400_000),
                new Limits(3, 1, 8, 1 << 20, 1024, 4096, 2000),
                new Policy(0.4, 1.0, OwnershipScope.REGION),
                List.of(
                        model("thread-tension", Urgency.INTERACTIVE, 8, 4),
                        service("order-status", Urgency.INTERACTIVE, false, "orders"),
                        service("bobbin-withdrawal", Urgency.PROMPT, true, "orders"),
                        model("quality-query", Urgency.PROMPT, 20, 2),
                        model("overnight-batch", Urgency.OVERNIGHT, 600, 1)),
                traffic,
                "orders");
    }

    private static KindSpec model(String name, Urgency urgency, int deadline, double weight) {
        return new KindSpec(
                name,
                urgency,
                Duration.ofSeconds(deadline),
                false,
                true,
                weight,
                "",
                Duration.ofSeconds(5));
    }

    private static KindSpec service(
            String name, Urgency urgency, boolean onceOnly, String service) {
        return new KindSpec(
                name,
                urgency,
                Duration.ofSeconds(5),
                onceOnly,
                !onceOnly,
                1,
                service,
                Duration.ofSeconds(2));
    }

    /** Returns the identifiers of the entry instances. */
    public List<String> entries() {
        return numberedNames("entry-", shape.entries());
    }

    /** Returns the identifiers of the engines. */
    public List<String> engines() {
        return numberedNames("engine-", shape.engines());
    }

    /** Returns the identifiers of the application runners. */
    public List<String> runners() {
        return numberedNames("runner-", shape.runners());
    }

    private static List<String> numberedNames(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    /** Returns the data centre of the instance or upstream with the given index. */
    public String dataCentre(int index) {
        return "dc" + index % shape.dataCentres();
    }

    /** Returns the region of all instances and upstreams. */
    public String region() {
        return REGION;
    }

    /** Returns all upstreams as live; every second engine checks fencing numbers. */
    public List<Upstream> upstreams() {
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < shape.engines(); i++) {
            Upstream.EngineProperties s =
                    new Upstream.EngineProperties(
                            "base-0", shape.adapterSlots(), shape.batchSize());
            all.add(upstream("engine-" + i, UpstreamKind.ENGINE, i, s, i % 2 == 0, Set.of()));
        }
        for (int i = 0; i < shape.runners(); i++) {
            all.add(
                    upstream(
                            "runner-" + i,
                            UpstreamKind.APPLICATION_RUNNER,
                            i,
                            Upstream.EngineProperties.NONE,
                            false,
                            Set.of(service)));
        }
        return all;
    }

    private Upstream upstream(
            String id,
            UpstreamKind kind,
            int index,
            Upstream.EngineProperties engine,
            boolean fencing,
            Set<String> services) {
        return new Upstream(
                id,
                kind,
                URI.create("http://127.0.0.1:1/" + id),
                dataCentre(index),
                REGION,
                ListedState.LIVE,
                engine,
                fencing,
                services);
    }

    /** Returns the name of the adapter with the given index. */
    public static String adapterName(int index) {
        return "adapter-" + index;
    }

    /** Returns the group of the adapter with the given index. */
    public static String groupOf(int index) {
        return "group-" + index % TEAMS;
    }

    /** Returns the caller that is entitled to the adapter with the given index. */
    public static String callerFor(int index) {
        return "caller-" + index % TEAMS;
    }

    /** Returns the caller that is entitled to the named adapter. */
    public static String callerForAdapter(String adapter) {
        return callerFor(Integer.parseInt(adapter.substring(adapter.lastIndexOf('-') + 1)));
    }

    /** Returns the bearer token of a caller. */
    public static String tokenOf(String caller) {
        return "token-" + caller;
    }

    /** Returns the initial configuration: number 1, with version 1 of each adapter pinned. */
    public Configuration configuration() {
        return configuration(1, Map.of());
    }

    /**
     * Returns a configuration with the given pinned versions; other adapters have version 1 pinned.
     */
    public Configuration configuration(long number, Map<String, Integer> pins) {
        List<AdapterSpec> adapters = new ArrayList<>();
        for (int i = 0; i < shape.adapters(); i++) {
            String n = adapterName(i);
            int version = pins.getOrDefault(n, 1);
            Map<Integer, String> versions = new HashMap<>();
            for (int v = 1; v <= Math.max(version, 2); v++) {
                versions.put(v, "weights/" + n + '/' + v);
            }
            adapters.add(
                    new AdapterSpec(
                            n,
                            "base-0",
                            groupOf(i),
                            versions,
                            Map.of(AdapterSpec.ANY_KIND, version)));
        }
        return Configuration.of(number, base(), adapters);
    }

    private ConfigurationBase base() {
        Map<String, KindSpec> byName = new HashMap<>();
        kinds.forEach(k -> byName.put(k.name(), k));
        Map<String, TeamSpec> teams = new HashMap<>();
        for (int i = 0; i < TEAMS; i++) {
            String hash = ImageCodec.hash(tokenOf("caller-" + i).getBytes(StandardCharsets.UTF_8));
            teams.put(
                    "member-" + i,
                    new TeamSpec(
                            "member-" + i,
                            i + 1,
                            new HashSet<>(byName.keySet()),
                            Set.of("group-" + i),
                            Map.of(hash, "caller-" + i)));
        }
        return new ConfigurationBase(Set.of("base-0"), byName, teams, limits, policy);
    }
}
