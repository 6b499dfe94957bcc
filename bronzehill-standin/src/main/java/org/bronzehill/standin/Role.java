package org.bronzehill.standin;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** External system that a stand-in process simulates. */
public enum Role {
    ENGINE,
    WEIGHT_STORE,
    CONFIGURATION,
    INSTANCE_LIST,
    APPLICATION_RUNNER;

    /** Returns the name used in settings. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the role with the given label. */
    public static Optional<Role> ofLabel(String label) {
        return Arrays.stream(values()).filter(r -> r.label().equals(label)).findFirst();
    }
}
