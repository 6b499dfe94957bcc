package org.bronzehill.replay.harness;

import java.util.random.RandomGenerator;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.EntryCore;
import org.bronzehill.core.node.EntrySettings;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.time.TimeSource;

/** Decision code under replay: the decision core of an entry instance, or a baseline. */
public interface DecisionCore {

    /** Handles an input and appends the effects to carry out, in order. */
    void handle(Input input, Effects out);

    /** Returns the number of the configuration in force; 0 if there is none. */
    long configurationNumber();

    /** Creates the decision code of one incarnation of an entry instance. */
    @FunctionalInterface
    interface Factory {

        /** Creates the decision code. */
        DecisionCore create(EntrySettings settings, TimeSource time, RandomGenerator random);
    }

    /** Returns the factory of the decision core that entry instances use. */
    static Factory entryCore() {
        return (settings, time, random) -> {
            EntryCore core = EntryCore.create(settings, time, random);
            return new DecisionCore() {
                @Override
                public void handle(Input input, Effects out) {
                    core.handle(input, out);
                }

                @Override
                public long configurationNumber() {
                    return core.configuration().number();
                }
            };
        };
    }
}
