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

/** Seeded declarations of both deployments. The same profile and seed give the same declaration. */
public final class Declarations {

    /** Base model of every adapter. */
    public static final String BASE_MODEL = "granite-8b";

    /** Member that may use only its own group, to try what it is not entitled to. */
    public static final String OUTSIDER = "visitor";

    private static final int CALLERS = 3;
    private static final Duration IN_THE_RUN = Duration.ofSeconds(10);
    private static final String SHARED_GROUP = "shared";
    private static final String VISITOR_GROUP = "visiting";

    private Declarations() {}

    /** Returns the kinds of a deployment and their part in the load. */
    public static List<Traffic> traffic(Profile profile) {
        return switch (profile) {
            case DRIFTLESS -> driftless();
            case SIALKOT -> sialkot();
        };
    }

    private static List<Traffic> driftless() {
        return List.of(
                Traffic.model(
                        "route-chat", Urgency.INTERACTIVE, IN_THE_RUN, 4, 0.35, 24, IN_THE_RUN),
                Traffic.lookup("pickup-lookup", "pickup", "lookup", 0.25),
                Traffic.act("pickup-confirmation", "pickup", "confirm", 0.2),
                Traffic.model(
                        "tank-summary",
                        Urgency.SHIFT,
                        Duration.ofHours(4),
                        2,
                        0.12,
                        48,
                        IN_THE_RUN),
                Traffic.model(
                        "route-plan",
                        Urgency.OVERNIGHT,
                        Duration.ofHours(8),
                        3,
                        0.08,
                        64,
                        IN_THE_RUN));
    }

    private static List<Traffic> sialkot() {
        return List.of(
                Traffic.model(
                        "thread-guidance", Urgency.INTERACTIVE, IN_THE_RUN, 4, 0.3, 24, IN_THE_RUN),
                Traffic.model("quality-query", Urgency.PROMPT, IN_THE_RUN, 2, 0.15, 16, IN_THE_RUN),
                Traffic.model(
                        "batch-summary",
                        Urgency.OVERNIGHT,
                        Duration.ofHours(8),
                        3,
                        0.1,
                        64,
                        IN_THE_RUN),
                Traffic.lookup("order-status", "orders", "status", 0.25),
                Traffic.act("bobbin-withdrawal", "bobbins", "withdraw", 0.2));
    }

    /** Creates the declaration with {@link Profile#ADAPTERS} adapters under a number. */
    public static Configuration create(Profile profile, long number, long seed) {
        Random random = new Random(seed);
        List<AdapterSpec> adapters = new ArrayList<>();
        for (int i = 0; i < Profile.ADAPTERS; i++) {
            adapters.add(adapter(i, random));
        }
        return Configuration.of(number, base(profile), adapters);
    }

    /** Returns the next declaration, in which every adapter is pinned to its newest version. */
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
    public static String token(String member, int caller) {
        return "token-" + member + '-' + caller;
    }

    /** Returns the name of an adapter. */
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

    /** Returns the members that send the load. */
    public static List<String> members(Profile profile) {
        return profile == Profile.DRIFTLESS
                ? List.of("hillside-creamery", "valley-co-op", "ridge-farms")
                : List.of("chenab-bindery", "ravi-press", "sutlej-books", "aik-printers");
    }

    private static ConfigurationBase base(Profile profile) {
        List<Traffic> traffic = traffic(profile);
        Set<String> kinds = traffic.stream().map(Traffic::name).collect(Collectors.toSet());
        Map<String, TeamSpec> members = new HashMap<>();
        for (String name : members(profile)) {
            members.put(name, member(name, kinds, SHARED_GROUP));
        }
        members.put(OUTSIDER, member(OUTSIDER, kinds, VISITOR_GROUP));
        Limits d = Limits.DEFAULTS;
        Profile.StoreFigures store = profile.store();
        return new ConfigurationBase(
                Set.of(BASE_MODEL),
                traffic.stream()
                        .map(Traffic::kind)
                        .collect(Collectors.toMap(k -> k.name(), k -> k)),
                members,
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

    private static TeamSpec member(String name, Set<String> kinds, String group) {
        Map<String, String> callers = new HashMap<>();
        for (int i = 0; i < CALLERS; i++) {
            byte[] token = token(name, i).getBytes(StandardCharsets.UTF_8);
            callers.put(ImageCodec.hash(token), name + "-caller-" + i);
        }
        return new TeamSpec(name, 1.0, kinds, Set.of(group), callers);
    }

    /** Returns the number of callers of each member. */
    public static int callers() {
        return CALLERS;
    }
}
