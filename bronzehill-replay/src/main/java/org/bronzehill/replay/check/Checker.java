package org.bronzehill.replay.check;

import java.util.List;
import org.bronzehill.replay.harness.RunResult;

/** Checks one property over the event log of a run. */
@FunctionalInterface
public interface Checker {

    /** Returns every violation of the property. */
    List<Violation> check(RunResult run);
}
