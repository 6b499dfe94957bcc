package org.bronzehill.standin;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Sizes and rates of a deployment as listed in section 1 of docs/design.md. */
public enum Profile {
    DRIFTLESS(
            new StoreParameters(4, 2, 16),
            new EngineParameters(16, 32, 12, 1),
            List.of("pickup"),
            8,
            3,
            3),
    SIALKOT(
            new StoreParameters(3, 1, 8),
            new EngineParameters(24, 32, 12, 1),
            List.of("orders", "bobbins"),
            6,
            4,
            4);

    /** Number of adapters in each deployment. */
    public static final int ADAPTERS = 3000;

    private final StoreParameters store;
    private final EngineParameters engine;
    private final List<String> services;
    private final int engines;
    private final int runners;
    private final int dataCentres;

    Profile(
            StoreParameters store,
            EngineParameters engine,
            List<String> services,
            int engines,
            int runners,
            int dataCentres) {
        this.store = store;
        this.engine = engine;
        this.services = services;
        this.engines = engines;
        this.runners = runners;
        this.dataCentres = dataCentres;
    }

    /**
     * Capacity of a weight store.
     *
     * @param loadsPerSecond rate at which transfers start
     * @param fullSpeed number of transfers that may start without delay after an idle period
     * @param inFlight number of concurrent transfers beyond which each takes proportionally longer
     */
    public record StoreParameters(double loadsPerSecond, int fullSpeed, int inFlight) {}

    /**
     * Capacity and speed of an engine. A step of continuous batching takes {@code stepMs} plus
     * {@code stepPerRequestMs} for each request in the batch. With the parameters of {@link
     * Profile#DRIFTLESS}, a full batch of 16 produces one token per request in 28 ms, just below
     * the 29 ms that section 1 of docs/design.md allows.
     */
    public record EngineParameters(
            int batchSize, int adapterSlots, double stepMs, double stepPerRequestMs) {}

    public StoreParameters store() {
        return store;
    }

    public EngineParameters engine() {
        return engine;
    }

    /** Returns the names of the plain services that the application runners provide. */
    public List<String> services() {
        return services;
    }

    public int engines() {
        return engines;
    }

    public int runners() {
        return runners;
    }

    public int dataCentres() {
        return dataCentres;
    }

    /** Returns the name used in settings. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the profile with the given label. */
    public static Optional<Profile> ofLabel(String label) {
        return Arrays.stream(values()).filter(p -> p.label().equals(label)).findFirst();
    }
}
