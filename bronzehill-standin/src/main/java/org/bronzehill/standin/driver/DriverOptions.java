package org.bronzehill.standin.driver;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bronzehill.standin.Profile;

/** Parses the options of the driver programs and collects all errors. */
final class DriverOptions {

    private final List<String> errors = new ArrayList<>();

    Profile profile(String value) {
        Optional<Profile> profile = Profile.ofLabel(value);
        if (profile.isEmpty()) {
            errors.add("--profile must be driftless or sialkot, not '" + value + "'");
        }
        return profile.orElse(Profile.DRIFTLESS);
    }

    long number(String name, String value, long least, long most) {
        try {
            long n = Long.parseLong(value);
            if (n >= least && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        errors.add(name + " must be a whole number from " + least + " to " + most);
        return least;
    }

    Scenario scenario(List<String> arguments) {
        Optional<Scenario> scenario =
                arguments.size() == 1 ? Scenario.ofLabel(arguments.get(0)) : Optional.empty();
        if (scenario.isEmpty()) {
            errors.add("exactly one scenario is required, one of " + Scenario.labels());
        }
        return scenario.orElse(Scenario.PAUSE);
    }

    List<String> errors() {
        return errors;
    }

    /** Returns the root of the checkout, which the shell scripts pass as a system property. */
    static Path root() {
        return Path.of(System.getProperty("bronzehill.root", ".")).toAbsolutePath().normalize();
    }

    /** Returns the directory for the logs of a run, whose name is unique to this process. */
    static Path directory(String run) {
        return root().resolve("out").resolve(run + '-' + ProcessHandle.current().pid());
    }
}
