package org.bronzehill.replay.experiment;

import org.bronzehill.replay.harness.DecisionCore;

/**
 * An earlier version of the project's own policy. The experiment finds implementations with {@link
 * java.util.ServiceLoader}, so that the jar of an earlier release can take part in a comparison.
 */
public interface EarlierPolicy {

    /** Returns the name used in tables. */
    String name();

    /** Returns the decision code of that version. */
    DecisionCore.Factory factory();
}
