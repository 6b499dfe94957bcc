package org.bronzehill.replay.harness;

import java.util.random.RandomGenerator;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.EntryCore;
import org.bronzehill.core.node.EntrySettings;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.time.TimeSource;

/** Decision code under replay: the core of an entry instance, or a baseline. */
public interface DecisionCore {

    /** Handles one input and appends the effects that the program must carry out, in order. */
    void handle(Input input, Effects out);

    /** Returns the configuration number in force. */
    long configurationNumber();

    /** Creates the decision code of one incarnation of an entry instance. */
    @FunctionalInterface
    interface Factory {

        /** Creates the decision code. */
        DecisionCore create(EntrySettings settings, TimeSource time, RandomGenerator random);
    }

    /** Returns the factory of the real decision code. */
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
