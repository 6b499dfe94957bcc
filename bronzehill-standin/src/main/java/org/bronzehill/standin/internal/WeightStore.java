package org.bronzehill.standin.internal;

import java.util.Map;
import org.bronzehill.standin.Profile.StoreParameters;

/**
 * Simulates the weight store. {@code POST /v1/transfers} with {@code {"engine", "handle",
 * "weights"}} is answered when the adapter has been transferred.
 */
public final class WeightStore extends StandinService {

    private static final double TRANSFER_MS = 250;

    private final StoreParameters parameters;
    private final TransferClock clock;

    private WeightStore(String id, StoreParameters parameters) {
        super("weight-store", id);
        this.parameters = parameters;
        this.clock = TransferClock.of(parameters, TRANSFER_MS);
    }

    public static WeightStore create(String id, StoreParameters parameters) {
        return new WeightStore(id, parameters);
    }

    @Override
    protected void handle(Exchange exchange) {
        if (!exchange.matches("POST", "/v1/transfers")) {
            exchange.error(404, "unknown_path");
            return;
        }
        String weights = exchange.json().path("weights").asText();
        if (faults.consume("failLoads")) {
            ledger.count("transfers", "failed");
            exchange.error(502, "store_failed");
            return;
        }
        double delayMs;
        synchronized (clock) {
            delayMs = clock.begin(System.nanoTime() / 1e6);
            ledger.recordMax("transfers", "mostInFlight", clock.inFlight());
        }
        ledger.count("transfers", "begun");
        ledger.count("weights", weights);
        if (delayMs > TRANSFER_MS) {
            ledger.count("transfers", "delayed");
        }
        timer.after(
                delayMs,
                () -> {
                    synchronized (clock) {
                        clock.end();
                    }
                    ledger.count("transfers", "arrived");
                    exchange.respond(200, Map.of("weights", weights));
                });
    }

    @Override
    protected void describe(Map<String, Object> view) {
        view.put("figures", parameters);
    }
}
