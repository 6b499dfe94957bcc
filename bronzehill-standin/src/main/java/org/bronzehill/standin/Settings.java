package org.bronzehill.standin;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.bronzehill.standin.Profile.EngineParameters;
import org.bronzehill.standin.Profile.StoreParameters;

/**
 * Validated settings of a stand-in process.
 *
 * @param port port of the first role; further roles use the following ports; 0 selects free ports
 * @param directory declaration directory; null to start without a configuration
 * @param listFile initial instance list; null to start with an empty one
 * @param store base URI of the weight store; null to simulate loads without a store
 */
public record Settings(
        List<Role> roles,
        String id,
        String host,
        int port,
        Profile profile,
        EngineParameters engine,
        StoreParameters storeParameters,
        boolean checksFencing,
        long reportLagMs,
        long gapEvery,
        URI store,
        Path directory,
        Path listFile,
        long listLagMs,
        List<String> services,
        List<URI> siblings) {

    /** Prefix of the environment variables. */
    public static final String ENVIRONMENT_PREFIX = "BRONZEHILL_STANDIN_";

    /** Result of the validation: either the settings or every error found in them. */
    public record Checked(Optional<Settings> settings, List<String> errors) {}

    /**
     * Reads each setting from its flag, then from its environment variable, then from its default.
     * Reports all errors together.
     */
    public static Checked read(Map<String, String> flags, Map<String, String> environment) {
        Reader in = new Reader(flags, environment);
        List<Role> roles = in.roles();
        Profile profile = in.profile();
        Settings settings =
                new Settings(
                        roles,
                        in.text("id", roles.isEmpty() ? "" : roles.get(0).label()),
                        in.text("host", "127.0.0.1"),
                        (int) in.number("port", 0, 0, 65535),
                        profile,
                        in.engine(profile.engine()),
                        in.store(profile.store()),
                        in.bool("checks-fencing", true),
                        in.number("report-lag-ms", 100, 0, 60_000),
                        in.number("gap-every", 50, 0, 1_000_000),
                        in.uri("store-uri"),
                        in.path("directory"),
                        in.path("list-file"),
                        in.number("list-lag-ms", 0, 0, 3_600_000),
                        in.list("services", profile.services()),
                        in.uris("siblings"));
        return in.errors.isEmpty()
                ? new Checked(Optional.of(settings), List.of())
                : new Checked(Optional.empty(), List.copyOf(in.errors));
    }

    /**
     * Returns the identifier of a role; if the process has several roles, the label of the role.
     */
    public String idOf(Role role) {
        return roles.size() == 1 ? id : role.label();
    }

    /** Returns the name of the environment variable that corresponds to a flag. */
    public static String variable(String flag) {
        return ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static final class Reader {
        private final Map<String, String> flags;
        private final Map<String, String> environment;
        private final List<String> errors = new ArrayList<>();

        Reader(Map<String, String> flags, Map<String, String> environment) {
            this.flags = flags;
            this.environment = environment;
        }

        String text(String name, String fallback) {
            String value = flags.get(name);
            if (value == null) {
                value = environment.get(variable(name));
            }
            return value == null ? fallback : value;
        }

        List<String> list(String name, List<String> fallback) {
            String value = text(name, null);
            if (value == null) {
                return fallback;
            }
            return value.isBlank() ? List.of() : List.of(value.split(","));
        }

        long number(String name, long fallback, long least, long most) {
            String value = text(name, Long.toString(fallback));
            try {
                long n = Long.parseLong(value);
                if (n >= least && n <= most) {
                    return n;
                }
            } catch (NumberFormatException e) {
                // Reported below together with numbers out of range.
            }
            error(name, "must be a whole number from " + least + " to " + most, value);
            return fallback;
        }

        double decimal(String name, double fallback) {
            String value = text(name, Double.toString(fallback));
            try {
                double n = Double.parseDouble(value);
                if (n > 0 && n < 1e6) {
                    return n;
                }
            } catch (NumberFormatException e) {
                // Reported below together with numbers out of range.
            }
            error(name, "must be a positive number below 1000000", value);
            return fallback;
        }

        boolean bool(String name, boolean fallback) {
            String value = text(name, Boolean.toString(fallback));
            if (!value.equals("true") && !value.equals("false")) {
                error(name, "must be true or false", value);
            }
            return value.equals("true");
        }

        URI uri(String name) {
            List<URI> all = uris(name);
            return all.isEmpty() ? null : all.get(0);
        }

        List<URI> uris(String name) {
            List<URI> uris = new ArrayList<>();
            for (String value : list(name, List.of())) {
                if (value.matches("http://[^/:\\s]+:\\d{1,5}/?")) {
                    uris.add(URI.create(value));
                } else {
                    error(name, "must be of the form http://host:port", value);
                }
            }
            return uris;
        }

        Path path(String name) {
            String value = text(name, null);
            if (value == null) {
                return null;
            }
            if (!Files.exists(Path.of(value))) {
                error(name, "must name an existing file or directory", value);
            }
            return Path.of(value);
        }

        List<Role> roles() {
            List<Role> roles = new ArrayList<>();
            for (String label : list("role", List.of())) {
                Role.ofLabel(label)
                        .ifPresentOrElse(
                                roles::add, () -> error("role", "must name a known role", label));
            }
            if (list("role", List.of()).isEmpty()) {
                errors.add("--role (" + variable("role") + ") is required");
            }
            return List.copyOf(roles);
        }

        Profile profile() {
            String label = text("profile", Profile.DRIFTLESS.label());
            Optional<Profile> profile = Profile.ofLabel(label);
            if (profile.isEmpty()) {
                error("profile", "must be driftless or sialkot", label);
            }
            return profile.orElse(Profile.DRIFTLESS);
        }

        EngineParameters engine(EngineParameters d) {
            return new EngineParameters(
                    (int) number("batch-size", d.batchSize(), 1, 4096),
                    (int) number("adapter-slots", d.adapterSlots(), 1, 65_536),
                    decimal("step-ms", d.stepMs()),
                    decimal("step-per-request-ms", d.stepPerRequestMs()));
        }

        StoreParameters store(StoreParameters d) {
            return new StoreParameters(
                    decimal("store-rate", d.loadsPerSecond()),
                    (int) number("store-full-speed", d.fullSpeed(), 1, 4096),
                    (int) number("store-in-flight", d.inFlight(), 1, 65_536));
        }

        void error(String name, String rule, String value) {
            errors.add("--" + name + " (" + variable(name) + ") " + rule + ", not '" + value + "'");
        }
    }
}
