package org.bronzehill.replay.harness;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.Upstream;

/**
 * Published list of instances and upstreams. A change of an instance is published after a delay, a
 * change of an upstream at once.
 */
final class FakeInstanceList {

    private static final long PUBLICATION_DELAY_NANOS = 500 * VirtualTime.NANOS_PER_MS;

    private final VirtualTime time;
    private final EventLog log;
    private final Map<String, ListedInstance> instances = new LinkedHashMap<>();
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private long version = 1;
    private InstanceList current = InstanceList.EMPTY;

    FakeInstanceList(VirtualTime time, EventLog log, List<Upstream> first) {
        this.time = time;
        this.log = log;
        first.forEach(u -> upstreams.put(u.id(), u));
        refresh();
    }

    InstanceList current() {
        return current;
    }

    Upstream upstream(String id) {
        return upstreams.get(id);
    }

    /** Adds an instance without delay, before the start of a run. */
    void addInitial(InstanceRef ref) {
        instances.put(ref.id(), listed(ref, ListedState.LIVE));
        refresh();
    }

    void setInstanceState(InstanceRef ref, String state) {
        time.after(
                PUBLICATION_DELAY_NANOS,
                () -> {
                    if (state.equals("absent")) {
                        instances.remove(ref.id());
                    } else {
                        instances.put(ref.id(), listed(ref, stateOf(state)));
                    }
                    version++;
                    refresh();
                });
    }

    private static ListedInstance listed(InstanceRef ref, ListedState state) {
        InstanceRef unknownIncarnation =
                new InstanceRef(
                        ref.id(), 0, ref.host(), ref.port(), ref.dataCentre(), ref.region());
        return new ListedInstance(unknownIncarnation, state);
    }

    private static ListedState stateOf(String state) {
        return state.equals("leaving") ? ListedState.LEAVING : ListedState.LIVE;
    }

    void setUpstreamState(String id, String state, List<Upstream> known) {
        if (state.equals("absent")) {
            upstreams.remove(id);
        } else {
            known.stream()
                    .filter(u -> u.id().equals(id))
                    .forEach(u -> upstreams.put(id, withState(u, stateOf(state))));
        }
        version++;
        refresh();
        log.add(new LogEvent.UpstreamStatePublished(time.now(), id, state));
    }

    private static Upstream withState(Upstream u, ListedState state) {
        return new Upstream(
                u.id(),
                u.kind(),
                u.uri(),
                u.dataCentre(),
                u.region(),
                state,
                u.engineProperties(),
                u.checksFencing(),
                u.services());
    }

    private void refresh() {
        current =
                new InstanceList(
                        version,
                        new ArrayList<>(instances.values()),
                        new ArrayList<>(upstreams.values()));
    }
}
