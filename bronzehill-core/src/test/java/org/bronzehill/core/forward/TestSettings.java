package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/** Settings for instances in tests. */
final class TestSettings {

    private TestSettings() {}

    /** Returns the settings of an instance in data centre {@code a}. */
    static ForwardSettings of(String instance, double retryRatio, double retriesPerWindow) {
        return new ForwardSettings(
                instance,
                "a",
                retryRatio,
                retriesPerWindow,
                Duration.ofSeconds(10),
                Duration.ofSeconds(2),
                Duration.ZERO,
                Duration.ofSeconds(3));
    }

    /** Returns the settings of an instance in a data centre, with a typical retry budget. */
    static ForwardSettings in(String dataCentre, String instance) {
        ForwardSettings s = of(instance);
        return new ForwardSettings(
                instance,
                dataCentre,
                s.retryRatio(),
                s.retriesPerWindow(),
                s.retryWindow(),
                s.storeRecoveryGrace(),
                s.upstreamHeartbeat(),
                s.orderLease());
    }

    /** Returns a listener that ignores all outcomes. */
    static ForwardListener listener() {
        return new ForwardListener() {
            @Override
            public void completed(ForwardRequest r, int status, Duration took) {}

            @Override
            public void resumed(ResumeOutcome outcome, OriginSource source) {}

            @Override
            public void notCompleted(ForwardRequest r, ResultCode code, Duration took) {}
        };
    }

    /** Returns the settings of an instance with a typical retry budget. */
    static ForwardSettings of(String instance) {
        return of(instance, 0.2, 50);
    }
}
