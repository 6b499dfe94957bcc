package org.bronzehill.standin.driver.internal;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Limits;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.config.Policy;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.config.Urgency;
import org.bronzehill.standin.Profile;

/** Generates the declarations of both deployments; a profile and a seed determine the result. */
public final class Declarations {

    /** Base model of every adapter. */
    public static final String BASE_MODEL = "granite-8b";

    /**
     * Team that is entitled only to its own group; its requests for other groups must be refused.
     */
    public static final String UNENTITLED_TEAM = "visitor";

    private static final int CALLERS_PER_TEAM = 3;
    private static final Duration MODEL_REQUEST_DEADLINE = Duration.ofSeconds(10);
    private static final String SHARED_GROUP = "shared";
    private static final String VISITOR_GROUP = "visiting";

    private Declarations() {}

    /** Returns the kinds of a deployment with their shares of the load. */
    public static List<TrafficClass> trafficClasses(Profile profile) {
        return switch (profile) {
            case DRIFTLESS -> driftless();
            case SIALKOT -> sialkot();
        };
    }

    private static List<TrafficClass> driftless() {
        return List.of(
                TrafficClass.model(
                        "route-chat",
                        Urgency.INTERACTIVE,
                        MODEL_REQUEST_DEADLINE,
                        4,
                        0.35,
                        24,
                        MODEL_REQUEST_DEADLINE),
                TrafficClass.lookup("pickup-lookup", "pickup", "lookup", 0.25),
                TrafficClass.act("pickup-confirmation", "pickup", "confirm", 0.2),
                TrafficClass.model(
                        "tank-summary",
                        Urgency.SHIFT,
                        Duration.ofHours(4),
                        2,
                        0.12,
                        48,
                        MODEL_REQUEST_DEADLINE),
                TrafficClass.model(
                        "route-plan",
                        Urgency.OVERNIGHT,
                        Duration.ofHours(8),
                        3,
                        0.08,
                        64,
                        MODEL_REQUEST_DEADLINE));
    }

    private static List<TrafficClass> sialkot() {
        return List.of(
                TrafficClass.model(
                        "thread-guidance",
                        Urgency.INTERACTIVE,
                        MODEL_REQUEST_DEADLINE,
                        4,
                        0.3,
                        24,
                        MODEL_REQUEST_DEADLINE),
                TrafficClass.model(
                        "quality-query",
                        Urgency.PROMPT,
                        MODEL_REQUEST_DEADLINE,
                        2,
                        0.15,
                        16,
                        MODEL_REQUEST_DEADLINE),
                TrafficClass.model(
                        "batch-summary",
                        Urgency.OVERNIGHT,
                        Duration.ofHours(8),
                        3,
                        0.1,
                        64,
                        MODEL_REQUEST_DEADLINE),
                TrafficClass.lookup("order-status", "orders", "status", 0.25),
                TrafficClass.act("bobbin-withdrawal", "bobbins", "withdraw", 0.2));
    }

    /** Creates a declaration with {@link Profile#ADAPTERS} adapters and the given number. */
    public static Configuration create(Profile profile, long number, long seed) {
        Random random = new Random(seed);
        List<AdapterSpec> adapters = new ArrayList<>();
        for (int i = 0; i < Profile.ADAPTERS; i++) {
            adapters.add(adapter(i, random));
        }
        return Configuration.of(number, base(profile), adapters);
    }

    /** Returns the following declaration, which pins every adapter to its newest version. */
    public static Configuration next(Configuration current) {
        List<AdapterSpec> adapters =
                current.adapters()
                        .map(
                                a ->
                                        new AdapterSpec(
                                                a.name(),
                                                a.baseModel(),
                                                a.group(),
                                                a.versions(),
                                                Map.of(AdapterSpec.ANY_KIND, a.versions().size())))
                        .toList();
        return Configuration.of(current.number() + 1, current.base(), adapters);
    }

    /** Returns the bearer token of a caller. */
    public static String token(String team, int caller) {
        return "token-" + team + '-' + caller;
    }

    public static String adapterName(int index) {
        return String.format("adapter-%04d", index);
    }

    private static AdapterSpec adapter(int index, Random random) {
        String name = adapterName(index);
        int versions = 1 + random.nextInt(3);
        Map<Integer, String> locations = new HashMap<>();
        for (int v = 1; v <= versions; v++) {
            locations.put(v, "weights/" + name + '/' + v);
        }
        int pinned = 1 + random.nextInt(versions);
        return new AdapterSpec(
                name, BASE_MODEL, SHARED_GROUP, locations, Map.of(AdapterSpec.ANY_KIND, pinned));
    }

    /** Returns the teams that send the load. */
    public static List<String> teams(Profile profile) {
        return profile == Profile.DRIFTLESS
                ? List.of("hillside-creamery", "valley-co-op", "ridge-farms")
                : List.of("chenab-bindery", "ravi-press", "sutlej-books", "aik-printers");
    }

    private static ConfigurationBase base(Profile profile) {
        List<TrafficClass> trafficClasses = trafficClasses(profile);
        Set<String> kinds =
                trafficClasses.stream().map(TrafficClass::name).collect(Collectors.toSet());
        Map<String, TeamSpec> teams = new HashMap<>();
        for (String name : teams(profile)) {
            teams.put(name, team(name, kinds, SHARED_GROUP));
        }
        teams.put(UNENTITLED_TEAM, team(UNENTITLED_TEAM, kinds, VISITOR_GROUP));
        Limits d = Limits.DEFAULTS;
        Profile.StoreParameters store = profile.store();
        return new ConfigurationBase(
                Set.of(BASE_MODEL),
                trafficClasses.stream()
                        .map(TrafficClass::kind)
                        .collect(Collectors.toMap(k -> k.name(), k -> k)),
                teams,
                new Limits(
                        store.loadsPerSecond(),
                        store.fullSpeed(),
                        store.inFlight(),
                        d.maxBodyBytes(),
                        d.engineQueue(),
                        d.openRequests(),
                        d.configurationCallsPerSecond()),
                profile == Profile.DRIFTLESS
                        ? new Policy(1.0, 0.5, OwnershipScope.REGION)
                        : new Policy(0.5, 1.0, OwnershipScope.REGION));
    }

    private static TeamSpec team(String name, Set<String> kinds, String group) {
        Map<String, String> callers = new HashMap<>();
        for (int i = 0; i < CALLERS_PER_TEAM; i++) {
            byte[] token = token(name, i).getBytes(StandardCharsets.UTF_8);
            callers.put(ImageCodec.hash(token), name + "-caller-" + i);
        }
        return new TeamSpec(name, 1.0, kinds, Set.of(group), callers);
    }

    /** Returns the number of callers of each team. */
    public static int callersPerTeam() {
        return CALLERS_PER_TEAM;
    }
}
