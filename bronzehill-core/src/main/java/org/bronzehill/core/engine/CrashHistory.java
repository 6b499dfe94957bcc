package org.bronzehill.core.engine;

import java.util.Collection;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.node.Effects;

/** Operations of the crash registry that a scheduler uses. */
public interface CrashHistory {

    /** Returns the number of crashes counted for the request with this fingerprint. */
    int crashCount(byte[] fingerprint);

    /** Counts one crash for each of the requests, which ran on an engine when it crashed. */
    void recordCrash(Collection<byte[]> fingerprints, Effects out);

    /** Clears the crash count of a request that has completed. */
    void recordCompletion(byte[] fingerprint, Effects out);

    /** Returns an implementation that delegates to a crash registry. */
    static CrashHistory of(CrashRegistry registry) {
        return new CrashHistory() {
            @Override
            public int crashCount(byte[] fingerprint) {
                return registry.crashCount(fingerprint);
            }

            @Override
            public void recordCrash(Collection<byte[]> fingerprints, Effects out) {
                registry.recordCrash(fingerprints, out);
            }

            @Override
            public void recordCompletion(byte[] fingerprint, Effects out) {
                registry.recordCompletion(fingerprint, out);
            }
        };
    }
}
