package org.bronzehill.core.node;

import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.admission.OverloadPolicy;
import org.bronzehill.core.admission.RetryBudget;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.time.TimeSource;

/** Settings, state and services that the components of one decision core share. */
record CoreContext(
        EntrySettings settings,
        TimeSource time,
        IdSequence ids,
        Membership membership,
        Supplier<Configuration> configurationSupplier,
        CrashRegistry crashes,
        RetryBudget retryBudget,
        OverloadPolicy overload,
        ReadinessState readiness) {

    /** Returns the configuration in force. */
    Configuration configuration() {
        return configurationSupplier.get();
    }

    /** Returns the id of this instance. */
    String selfId() {
        return settings.self().id();
    }
}
