package org.bronzehill.core.node;

import java.util.List;
import java.util.random.RandomGenerator;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.Limits;
import org.bronzehill.core.time.TimeSource;

/**
 * The decision core of one entry instance: composes the decision components and delivers every
 * input to those concerned. All calls come from one thread.
 */
public final class EntryCore {

    private final EntrySettings settings;

    private EntryCore(EntrySettings settings) {
        this.settings = settings;
    }

    /** Creates the core of one incarnation of an entry instance. */
    public static EntryCore create(
            EntrySettings settings, TimeSource time, RandomGenerator random) {
        return new EntryCore(settings);
    }

    /** Handles one input and appends the effects that the program must carry out, in order. */
    public void handle(Input input, Effects out) {
        // The components are composed in a following step.
    }

    /** Returns a view of the present state. */
    public CoreStatus status() {
        return new CoreStatus(
                settings.self().id(),
                settings.self().incarnation(),
                CoreStatus.Phase.CHECKING,
                "not composed",
                new CoreStatus.ConfigurationView(0, null, 0, 0, Limits.DEFAULTS),
                List.of(),
                List.of(),
                new CoreStatus.Counts(0, 0, 0, 0));
    }

    /** Returns the configuration in force, for checkers and for the status page. */
    public Configuration configuration() {
        return Configuration.EMPTY;
    }
}
