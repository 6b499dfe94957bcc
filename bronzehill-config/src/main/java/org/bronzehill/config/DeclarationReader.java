package org.bronzehill.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads and validates declarations and reports problems with file, line, field and reason. All
 * invalid fields are reported together. Errors in the YAML text are reported without checking the
 * fields, and the size of the shards is only checked if all fields are valid.
 */
public final class DeclarationReader {

    private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Duration DEFAULT_SILENCE = Duration.ofSeconds(5);

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    private DeclarationReader(String file) {
        this.file = file;
    }

    /**
     * Reads the text of a declaration. The left value holds the YAML errors, in the order in which
     * they were found; if there are none, it holds all invalid fields, in line order; if there are
     * none of these either, it reports one shard that is too large.
     */
    public static Either<List<Problem>, Configuration> read(String file, String text) {
        return YamlParser.parse(file, text).flatMap(root -> new DeclarationReader(file).read(root));
    }

    static Either<List<Problem>, Configuration> readTree(String file, YamlNode.Mapping root) {
        return new DeclarationReader(file).read(root);
    }

    private Either<List<Problem>, Configuration> read(YamlNode.Mapping root) {
        FieldReader fields = new FieldReader(file, "", root, problems);
        fields.allowOnly(
                "number", "baseModels", "policy", "limits", "kinds", "members", "adapters");
        long number = fields.integer("number", null, 1, Long.MAX_VALUE);
        Set<String> baseModels = fields.nameSet("baseModels");
        Map<String, KindSpec> kinds = fields.section("kinds", this::kind);
        Map<String, AdapterSpec> adapters =
                fields.section("adapters", (name, in) -> adapter(name, in, baseModels, kinds));
        Map<String, TeamSpec> teams =
                fields.section("members", (name, in) -> team(name, in, kinds));
        checkTeamsShareNoToken(fields, teams);
        ConfigurationBase base =
                new ConfigurationBase(
                        baseModels,
                        kinds,
                        teams,
                        limits(fields.nested("limits")),
                        policy(fields.nested("policy")));
        if (!problems.isEmpty()) {
            return Either.left(problems.stream().sorted(Problem.BY_LINE).toList());
        }
        Configuration configuration = Configuration.of(number, base, adapters.values());
        return checkShardSizes(configuration);
    }

    private Either<List<Problem>, Configuration> checkShardSizes(Configuration configuration) {
        ConfigurationImage image = ImageCodec.encode(configuration);
        for (byte[] content : image.shards().values()) {
            if (content.length > ImageCodec.MAX_VALUE_BYTES) {
                String reason =
                        "a shard has "
                                + content.length
                                + " bytes; the configuration service accepts at most "
                                + ImageCodec.MAX_VALUE_BYTES;
                return Either.left(List.of(new Problem(file, 0, "(file)", reason)));
            }
        }
        return Either.right(configuration);
    }

    private KindSpec kind(String name, FieldReader in) {
        in.allowOnly(
                "urgency", "deadline", "onceOnly", "repeatable", "weight", "service", "silence");
        boolean onceOnly = in.bool("onceOnly", false);
        boolean repeatable = in.bool("repeatable", !onceOnly);
        String service = in.text("service", "");
        if (onceOnly && repeatable) {
            in.report("repeatable", "a once-only kind cannot be repeatable");
        }
        if (onceOnly && service.isEmpty()) {
            in.report("service", "a once-only kind needs an application service");
        }
        return new KindSpec(
                name,
                in.enumValue("urgency", Urgency.class, null),
                in.duration("deadline", null),
                onceOnly,
                repeatable,
                in.number("weight", 1.0, 0),
                service,
                in.duration("silence", DEFAULT_SILENCE));
    }

    private TeamSpec team(String name, FieldReader in, Map<String, KindSpec> kinds) {
        in.allowOnly("share", "kinds", "groups", "callers");
        Set<String> allowed = in.nameSet("kinds");
        for (String k : allowed) {
            if (!kinds.containsKey(k)) {
                in.report("kinds", "the kind " + k + " is not declared");
            }
        }
        Map<String, String> callers = new LinkedHashMap<>();
        in.textMap("callers")
                .forEach(
                        (caller, hash) -> {
                            if (!TOKEN_HASH.matcher(hash).matches()) {
                                in.report(
                                        "callers",
                                        "the token hash of "
                                                + caller
                                                + " must be a SHA-256 in lower-case hex");
                            }
                            callers.put(hash, caller);
                        });
        return new TeamSpec(
                name, in.number("share", 1.0, 0.001), allowed, in.nameSet("groups"), callers);
    }

    private static void checkTeamsShareNoToken(FieldReader fields, Map<String, TeamSpec> teams) {
        Map<String, String> teamsByTokenHash = new LinkedHashMap<>();
        for (TeamSpec team : teams.values()) {
            for (String hash : team.callers().keySet()) {
                String otherTeam = teamsByTokenHash.put(hash, team.name());
                if (otherTeam != null) {
                    fields.report(
                            "members",
                            "teams " + otherTeam + " and " + team.name() + " share a caller token");
                }
            }
        }
    }

    private AdapterSpec adapter(
            String name, FieldReader in, Set<String> baseModels, Map<String, KindSpec> kinds) {
        in.allowOnly("baseModel", "group", "versions", "pins");
        String model = in.text("baseModel", null);
        if (model != null && !baseModels.contains(model)) {
            in.report("baseModel", "the base model " + model + " is not declared");
        }
        Map<Integer, String> versions = new LinkedHashMap<>();
        in.textMap("versions")
                .forEach(
                        (v, weights) ->
                                parseVersion(in, "versions", v, n -> versions.put(n, weights)));
        Map<String, Integer> pins = new LinkedHashMap<>();
        in.textMap("pins")
                .forEach((kind, v) -> parseVersion(in, "pins", v, n -> pins.put(kind, n)));
        pins.forEach(
                (kind, version) -> {
                    if (!kind.equals(AdapterSpec.ANY_KIND) && !kinds.containsKey(kind)) {
                        in.report("pins", "the kind " + kind + " is not declared");
                    }
                    if (!versions.containsKey(version)) {
                        in.report(
                                "pins",
                                "version " + version + " pinned for " + kind + " does not exist");
                    }
                });
        return new AdapterSpec(
                name, model == null ? "" : model, in.text("group", "default"), versions, pins);
    }

    private static void parseVersion(
            FieldReader in, String field, String text, java.util.function.IntConsumer consumer) {
        try {
            int value = Integer.parseInt(text);
            if (value > 0) {
                consumer.accept(value);
                return;
            }
        } catch (NumberFormatException e) {
            // Reported below, like values that are not positive.
        }
        in.report(field, "a version must be a positive integer, not " + text);
    }

    private static Limits limits(FieldReader in) {
        Limits defaults = Limits.DEFAULTS;
        if (in == null) {
            return defaults;
        }
        in.allowOnly(
                "storeLoadsPerSecond",
                "storeFullSpeed",
                "storeInFlight",
                "maxBodyBytes",
                "engineQueue",
                "openRequests",
                "configurationCallsPerSecond");
        return new Limits(
                in.number("storeLoadsPerSecond", defaults.storeLoadsPerSecond(), 0.01),
                (int) in.integer("storeFullSpeed", (long) defaults.storeFullSpeed(), 1, 10_000),
                (int) in.integer("storeInFlight", (long) defaults.storeInFlight(), 1, 10_000),
                (int) in.integer("maxBodyBytes", (long) defaults.maxBodyBytes(), 1024, 64L << 20),
                (int) in.integer("engineQueue", (long) defaults.engineQueue(), 1, 1_000_000),
                (int) in.integer("openRequests", (long) defaults.openRequests(), 1, 1_000_000),
                in.number(
                        "configurationCallsPerSecond", defaults.configurationCallsPerSecond(), 1));
    }

    private static Policy policy(FieldReader in) {
        Policy defaults = Policy.DEFAULTS;
        if (in == null) {
            return defaults;
        }
        in.allowOnly("loadStallWeight", "batchWeight", "ownershipScope");
        return new Policy(
                in.number("loadStallWeight", defaults.loadStallWeight(), 0),
                in.number("batchWeight", defaults.batchWeight(), 0),
                in.enumValue("ownershipScope", OwnershipScope.class, defaults.scope()));
    }
}
