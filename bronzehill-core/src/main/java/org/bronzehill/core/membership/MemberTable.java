package org.bronzehill.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.MemberUpdate;

/** Rows of all instances, and the rules by which a newer statement replaces an older one. */
final class MemberTable {

    /**
     * Instances that the list does not name; the bound keeps the table finite. Where no list is
     * published these are all: more than twice the fleet of 380 instances that is planned for.
     */
    private static final int MAX_UNLISTED = 1024;

    private static final int MAX_UPDATES = 8;

    /** Updates in a message to an instance that has just started; they fit into one packet. */
    private static final int MAX_INTRODUCED = 14;

    private static final int MAX_PORT = 65_535;
    private static final long SUSPICION_NANOS = 2_000_000_000L;

    /** Together with the 3 s until a silent instance is DEAD, it is removed after 10 s. */
    private static final long UNLISTED_NANOS = 7_000_000_000L;

    private final InstanceRef self;
    private final TimeSource time;
    private final Map<String, Row> rows = new TreeMap<>();
    private final UpdateQueue queue = new UpdateQueue();
    private int refutation;
    private boolean leaving;
    private boolean superseded;
    private List<InstanceRef> live;
    private List<Peer> peers;

    MemberTable(InstanceRef self, TimeSource time) {
        this.self = self;
        this.time = time;
    }

    Row row(String id) {
        return rows.get(id);
    }

    Collection<Row> rows() {
        return rows.values();
    }

    boolean leaving() {
        return leaving;
    }

    boolean superseded() {
        return superseded;
    }

    void leave() {
        leaving = true;
        refutation++;
        changed();
    }

    void applyList(InstanceList list) {
        Map<String, ListedInstance> listed = new HashMap<>();
        list.instances().forEach(i -> listed.put(i.ref().id(), i));
        rows.values().forEach(Row::setUnlisted);
        for (ListedInstance i : listed.values()) {
            if (i.ref().id().equals(self.id())) {
                continue;
            }
            Row row = rows.computeIfAbsent(i.ref().id(), id -> new Row(i.ref()));
            if (i.ref().incarnation() > row.ref().incarnation()) {
                row.replace(i.ref(), 0);
            }
            row.setListed(i.ref(), i.state() == ListedState.LEAVING);
        }
        changed();
    }

    /** Takes over what a message says about an instance. */
    void merge(MemberUpdate update, Effects out) {
        if (!isWellFormed(update)) {
            return;
        }
        if (update.getId().equals(self.id())) {
            mergeSelf(update);
            return;
        }
        boolean bad = isBad(update);
        Row row = rows.get(update.getId());
        if (row == null) {
            if (bad || rows.values().stream().filter(r -> !r.listed()).count() >= MAX_UNLISTED) {
                return;
            }
            row = new Row(ref(update));
            rows.put(update.getId(), row);
            takeOver(row, update, out);
        } else if (update.getIncarnation() > row.ref().incarnation()) {
            takeOver(row, update, out);
        } else if (update.getIncarnation() == row.ref().incarnation()) {
            mergeSame(row, update, out);
        }
    }

    private void takeOver(Row row, MemberUpdate update, Effects out) {
        row.replace(ref(update), update.getRefutation());
        applyStatus(row, update, out);
        retireSameAddress(row, out);
        told(row, out);
    }

    private void mergeSame(Row row, MemberUpdate update, Effects out) {
        if (update.getRefutation() < row.refutation()) {
            return;
        }
        PeerStatus before = row.status();
        boolean newer = update.getRefutation() > row.refutation();
        if (newer) {
            row.refute(update.getRefutation());
        }
        applyStatus(row, update, out);
        if (newer || row.status() != before) {
            told(row, out);
        }
    }

    private void applyStatus(Row row, MemberUpdate update, Effects out) {
        switch (update.getStatus()) {
            case PEER_STATUS_SUSPECT -> {
                if (row.health() == Row.Health.UP) {
                    row.setHealth(Row.Health.SUSPECT, time.nanoTime());
                }
            }
            case PEER_STATUS_DEAD -> {
                if (row.health() != Row.Health.DEAD) {
                    row.setHealth(Row.Health.DEAD, time.nanoTime());
                }
            }
            case PEER_STATUS_LEAVING -> row.markLeaving();
            default -> {}
        }
    }

    /** An instance refutes every suspicion of its own incarnation. */
    private void mergeSelf(MemberUpdate update) {
        if (update.getIncarnation() > self.incarnation()) {
            superseded = true;
        } else if (update.getIncarnation() == self.incarnation()
                && update.getRefutation() >= refutation
                && isBad(update)) {
            refutation = update.getRefutation() + 1;
        }
    }

    /** An address belongs to the incarnation that started last. */
    private void retireSameAddress(Row row, Effects out) {
        for (Row other : rows.values()) {
            if (other != row
                    && row.ref().port() != 0
                    && other.ref().port() == row.ref().port()
                    && other.ref().host().equals(row.ref().host())) {
                Row older = other.ref().incarnation() < row.ref().incarnation() ? other : row;
                older.setHealth(Row.Health.DEAD, time.nanoTime());
                told(older, out);
            }
        }
    }

    /** Notes the planned stop that an instance itself announced. */
    void markLeaving(String id, Effects out) {
        Row row = rows.get(id);
        if (row != null && row.markLeaving()) {
            told(row, out);
        }
    }

    void suspect(Row row, Effects out) {
        if (row.health() == Row.Health.UP) {
            row.setHealth(Row.Health.SUSPECT, time.nanoTime());
            told(row, out);
        }
    }

    /** Ends suspicions that were not refuted and removes instances that left. */
    void expire(Effects out) {
        long now = time.nanoTime();
        for (Iterator<Row> i = rows.values().iterator(); i.hasNext(); ) {
            Row row = i.next();
            if (row.health() == Row.Health.SUSPECT && now - row.since() >= SUSPICION_NANOS) {
                row.setHealth(Row.Health.DEAD, now);
                told(row, out);
            } else if (row.health() == Row.Health.DEAD
                    && !row.listed()
                    && now - row.since() >= UNLISTED_NANOS) {
                i.remove();
                queue.remove(row.ref().id());
                changed();
            }
        }
    }

    /** Gives suspected instances the time back in which this process itself did not run. */
    void creditPause(long nanos) {
        for (Row row : rows.values()) {
            if (row.health() == Row.Health.SUSPECT) {
                row.restartTimer(Math.min(time.nanoTime(), row.since() + nanos));
            }
        }
    }

    private void told(Row row, Effects out) {
        queue.add(row.ref().id(), rows.size() + 1);
        changed();
        out.add(new Effect.RecordMetric(CoreMetric.PEER_STATUS_CHANGES, row.status().name(), 1));
    }

    void changed() {
        live = null;
        peers = null;
    }

    /** Returns the updates for a message to {@code target}: first those that it can refute. */
    List<MemberUpdate> updatesFor(String target) {
        List<MemberUpdate> updates = new ArrayList<>();
        updates.add(
                Row.update(self, refutation, leaving ? PeerStatus.LEAVING : PeerStatus.ALIVE)
                        .build());
        Row row = rows.get(target);
        boolean refutable = row != null && row.health() != Row.Health.UP;
        if (refutable) {
            updates.add(row.toUpdate());
        }
        for (String id : queue.take(MAX_UPDATES - updates.size())) {
            if (!(refutable && id.equals(target)) && rows.containsKey(id)) {
                updates.add(rows.get(id).toUpdate());
            }
        }
        return updates;
    }

    /** Returns the updates of all rows, in parts that fit into one message each. */
    List<List<MemberUpdate>> allUpdates() {
        List<List<MemberUpdate>> parts = new ArrayList<>();
        List<MemberUpdate> part = new ArrayList<>();
        for (Row row : rows.values()) {
            part.add(row.toUpdate());
            if (part.size() == MAX_INTRODUCED) {
                parts.add(part);
                part = new ArrayList<>();
            }
        }
        if (!part.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }

    /** Returns a hash of the live instances, this one included; never 0. */
    long hash() {
        long hash = 1;
        for (InstanceRef i : live()) {
            hash = 31 * hash + RendezvousHash.nameHash(i.id());
            hash = 31 * hash + i.incarnation();
        }
        return hash == 0 ? 1 : hash;
    }

    List<InstanceRef> live() {
        if (live == null) {
            Map<String, InstanceRef> found = new TreeMap<>();
            rows.forEach(
                    (id, r) -> {
                        if (r.status().isLive()) {
                            found.put(id, r.ref());
                        }
                    });
            if (!leaving) {
                found.put(self.id(), self);
            }
            live = List.copyOf(found.values());
        }
        return live;
    }

    List<Peer> peers() {
        if (peers == null) {
            peers = rows.values().stream().map(r -> new Peer(r.ref(), r.status())).toList();
        }
        return peers;
    }

    /** A row without a name or a possible port would fail each time that it is sent to. */
    private static boolean isWellFormed(MemberUpdate update) {
        return !update.getId().isEmpty() && update.getPort() >= 0 && update.getPort() <= MAX_PORT;
    }

    private static boolean isBad(MemberUpdate update) {
        return switch (update.getStatus()) {
            case PEER_STATUS_SUSPECT, PEER_STATUS_DEAD -> true;
            default -> false;
        };
    }

    private static InstanceRef ref(MemberUpdate u) {
        return new InstanceRef(
                u.getId(),
                u.getIncarnation(),
                u.getHost(),
                u.getPort(),
                u.getDataCentre(),
                u.getRegion());
    }
}
