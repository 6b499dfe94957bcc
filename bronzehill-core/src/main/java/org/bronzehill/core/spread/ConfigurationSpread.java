package org.bronzehill.core.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.Envelope;

/** Brings the highest configuration number to every instance. */
public final class ConfigurationSpread {

    private static final Duration WATCH = Duration.ofSeconds(30);

    private final ConfigurationStore store;
    private boolean reading;

    private ConfigurationSpread(ConfigurationStore store) {
        this.store = store;
    }

    /** Creates the component for an instance that has just started. */
    public static ConfigurationSpread create(
            Membership membership,
            ConfigurationStore store,
            TimeSource time,
            RandomGenerator random) {
        return new ConfigurationSpread(store);
    }

    /** Reads or watches the configuration service where that is this instance's task. */
    public void onTick(Effects out) {
        if (!reading) {
            reading = true;
            long have = store.current().number();
            out.add(new Effect.ReadConfiguration(have, have == 0 ? Duration.ZERO : WATCH));
        }
    }

    /**
     * Compares the configuration number of any peer message with the own one, and handles
     * ConfigurationPull and ConfigurationPush.
     */
    public void onEnvelope(Envelope envelope, Effects out) {}

    /**
     * Takes over an answer of the configuration service. An answer "not modified" is delivered as
     * an image of the number that was asked for, without shards.
     */
    public void onRead(ConfigurationImage image, Effects out) {
        reading = false;
        store.offer(image);
    }

    /** Notes that the configuration service did not answer. */
    public void onReadFailed(String reason, Effects out) {
        reading = false;
    }

    /** Repeats the checks of a starting instance, after a pause. */
    public void recheck(Effects out) {}

    /** Returns whether the number in force is the highest that the reachable peers know. */
    public boolean caughtUp() {
        return store.current().number() > 0;
    }
}
