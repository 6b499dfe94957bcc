package org.bronzehill.bench;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.replay.harness.VirtualTime;

/** Membership components of a fleet that exchange messages in memory and share a manual clock. */
public final class MembershipFleet {

    private static final int TICKS_PER_ROUND = 10;
    private static final Duration TICK = Duration.ofMillis(50);

    private record Message(InstanceRef from, String to, Envelope.Builder envelope) {}

    private final ManualTimeSource time = ManualTimeSource.startingAt(VirtualTime.START);
    private final Map<String, Membership> instances = new HashMap<>();
    private final Deque<Message> pendingMessages = new ArrayDeque<>();
    private long messages;
    private long bytes;

    /** Creates a fleet of {@code size} instances that share one instance list. */
    public MembershipFleet(int size) {
        SplittableRandom random = new SplittableRandom(3);
        List<ListedInstance> listed = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            InstanceRef ref =
                    new InstanceRef("entry-" + i, i + 1, "127.0.0.1", 7000 + i, "dc" + i % 5, "r1");
            listed.add(new ListedInstance(ref, ListedState.LIVE));
            instances.put(ref.id(), Membership.create(ref, time, random.split()));
        }
        InstanceList list = new InstanceList(1, listed, List.of());
        instances.values().forEach(m -> m.onInstanceList(list, e -> enqueue(m, e)));
        deliver();
    }

    private void enqueue(Membership from, Effect effect) {
        if (effect instanceof Effect.SendPeer s) {
            pendingMessages.add(new Message(from.self(), s.instance(), s.envelope()));
        }
    }

    private void deliver() {
        while (!pendingMessages.isEmpty()) {
            Message m = pendingMessages.poll();
            Membership target = instances.get(m.to());
            Envelope e =
                    m.envelope()
                            .setFrom(m.from().id())
                            .setFromIncarnation(m.from().incarnation())
                            .setTo(m.to())
                            .setListVersion(1)
                            .build();
            messages++;
            bytes += e.getSerializedSize();
            target.onMessage(e, x -> enqueue(target, x));
        }
    }

    /** Runs one probe period of all instances. */
    public void round() {
        for (int i = 0; i < TICKS_PER_ROUND; i++) {
            time.advance(TICK);
            instances.values().forEach(m -> m.onTick(e -> enqueue(m, e)));
            deliver();
        }
    }

    /** Returns the number of messages since the start. */
    public long messages() {
        return messages;
    }

    /** Returns the total size in bytes of all messages since the start. */
    public long bytes() {
        return bytes;
    }
}
