package org.bronzehill.core.engine;

import java.util.Collection;
import org.bronzehill.core.node.Effects;

/** The part of the crash registry that a scheduler needs. */
public interface CrashHistory {

    /** Returns how many crash marks the request with this fingerprint has. */
    int marks(byte[] fingerprint);

    /** Gives one mark to each of the requests, which ran on an engine that crashed. */
    void crashed(Collection<byte[]> fingerprints, Effects out);

    /** Clears the marks of a request that ran to its end. */
    void completed(byte[] fingerprint, Effects out);
}
