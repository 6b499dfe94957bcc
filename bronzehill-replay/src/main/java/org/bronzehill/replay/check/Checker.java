package org.bronzehill.replay.check;

import java.util.List;
import org.bronzehill.replay.harness.RunResult;

/** Checks a property on the result of a run. */
@FunctionalInterface
public interface Checker {

    /** Returns every violation of the property. */
    List<Violation> check(RunResult run);
}
