package org.bronzehill.core.engine;

import java.util.Collection;
import org.bronzehill.core.crash.CrashRegistry;
import org.bronzehill.core.node.Effects;

/** The part of the crash registry that a scheduler needs. */
public interface CrashHistory {

    /** Returns how many crash marks the request with this fingerprint has. */
    int marks(byte[] fingerprint);

    /** Gives one mark to each of the requests, which ran on an engine that crashed. */
    void recordCrash(Collection<byte[]> fingerprints, Effects out);

    /** Clears the marks of a request that ran to its end. */
    void recordCompletion(byte[] fingerprint, Effects out);

    /** Returns the view of a crash registry. */
    static CrashHistory of(CrashRegistry registry) {
        return new CrashHistory() {
            @Override
            public int marks(byte[] fingerprint) {
                return registry.marks(fingerprint);
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
