package org.bronzehill.replay.experiment;

import org.bronzehill.replay.harness.DecisionCore;

/**
 * Earlier version of this project's placement policy. The experiment finds implementations with
 * {@link java.util.ServiceLoader}, so that the jar of an earlier release can take part in a
 * comparison.
 */
public interface EarlierPolicy {

    /** Returns the name of the policy in tables. */
    String name();

    /** Returns the decision code of that version. */
    DecisionCore.Factory factory();
}
