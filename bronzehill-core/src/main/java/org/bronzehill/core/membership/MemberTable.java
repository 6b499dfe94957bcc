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

/** The rows of all known instances, and the rules for merging updates about them. */
final class MemberTable {

    /**
     * Maximum number of instances outside the published list, which bounds the table. Where no list
     * is published, it applies to all instances; it is more than twice the planned fleet of 380.
     */
    private static final int MAX_UNLISTED_INSTANCES = 1024;

    private static final int MAX_UPDATES_PER_MESSAGE = 8;

    /** Updates per message when the whole table is sent; they fit into one packet. */
    private static final int MAX_UPDATES_PER_SYNC_MESSAGE = 14;

    private static final int MAX_PORT = 65_535;
    private static final long SUSPICION_TIMEOUT_NANOS = 2_000_000_000L;

    /**
     * An unresponsive instance is DEAD almost 3 s after a probe: 0.75 s until the probe in {@link
     * Prober} has timed out, and the suspicion time-out. It is removed after almost 10 s.
     */
    private static final long UNLISTED_RETENTION_NANOS = 7_000_000_000L;

    private final InstanceRef self;
    private final DepartedInstances departed;
    private final TimeSource time;
    private final Map<String, MemberRow> rows = new TreeMap<>();
    private final UpdateQueue updateQueue = new UpdateQueue();
    private int refutationNumber;
    private boolean leaving;
    private boolean superseded;
    private boolean hasList;
    private List<InstanceRef> live;
    private List<Peer> peers;

    MemberTable(InstanceRef self, DepartedInstances departed, TimeSource time) {
        this.self = self;
        this.departed = departed;
        this.time = time;
    }

    MemberRow row(String id) {
        return rows.get(id);
    }

    Collection<MemberRow> rows() {
        return rows.values();
    }

    boolean leaving() {
        return leaving;
    }

    boolean superseded() {
        return superseded;
    }

    void announceLeaving() {
        leaving = true;
        refutationNumber++;
        invalidateViews();
    }

    /** Returns whether an instance list is published, which names the instances that return. */
    boolean hasList() {
        return hasList;
    }

    void applyList(InstanceList list) {
        hasList = true;
        Map<String, ListedInstance> listedById = new HashMap<>();
        list.instances().forEach(i -> listedById.put(i.ref().id(), i));
        rows.values().forEach(MemberRow::setUnlisted);
        for (ListedInstance i : listedById.values()) {
            if (i.ref().id().equals(self.id())) {
                continue;
            }
            MemberRow row = rows.computeIfAbsent(i.ref().id(), id -> new MemberRow(i.ref()));
            if (i.ref().incarnation() > row.ref().incarnation()) {
                row.replace(i.ref(), 0);
            }
            row.setListed(i.ref(), i.state() == ListedState.LEAVING);
        }
        invalidateViews();
    }

    /** Merges an update about an instance into the table. */
    void merge(MemberUpdate update, Effects out) {
        if (!isWellFormed(update)) {
            return;
        }
        if (update.getId().equals(self.id())) {
            mergeSelf(update);
            return;
        }
        boolean failure = reportsFailure(update);
        MemberRow row = rows.get(update.getId());
        if (row == null) {
            if (failure) {
                if (!hasList) {
                    departed.onReported(ref(update));
                }
                return;
            }
            if (rows.values().stream().filter(r -> !r.listed()).count() >= MAX_UNLISTED_INSTANCES) {
                return;
            }
            row = new MemberRow(ref(update));
            rows.put(update.getId(), row);
            replaceRow(row, update, out);
        } else if (update.getIncarnation() > row.ref().incarnation()) {
            replaceRow(row, update, out);
        } else if (update.getIncarnation() == row.ref().incarnation()) {
            mergeSameIncarnation(row, update, out);
        }
    }

    private void replaceRow(MemberRow row, MemberUpdate update, Effects out) {
        row.replace(ref(update), update.getRefutation());
        applyStatus(row, update, out);
        retireSameAddress(row, out);
        recordChange(row, out);
    }

    private void mergeSameIncarnation(MemberRow row, MemberUpdate update, Effects out) {
        if (update.getRefutation() < row.refutationNumber()) {
            return;
        }
        if (row.ref().linkMbps() == 0 && update.getLinkMbps() != 0) {
            // An instance of an earlier build has passed the row on without this field.
            row.complete(ref(update));
            invalidateViews();
        }
        PeerStatus before = row.status();
        boolean newer = update.getRefutation() > row.refutationNumber();
        if (newer) {
            row.applyRefutation(update.getRefutation());
        }
        applyStatus(row, update, out);
        if (newer || row.status() != before) {
            recordChange(row, out);
        }
    }

    private void applyStatus(MemberRow row, MemberUpdate update, Effects out) {
        switch (update.getStatus()) {
            case PEER_STATUS_SUSPECT -> {
                if (row.health() == MemberRow.Health.UP) {
                    row.setHealth(MemberRow.Health.SUSPECT, time.nanoTime());
                }
            }
            case PEER_STATUS_DEAD -> {
                if (row.health() != MemberRow.Health.DEAD) {
                    row.setHealth(MemberRow.Health.DEAD, time.nanoTime());
                }
            }
            case PEER_STATUS_LEAVING -> row.markLeaving();
            default -> {}
        }
    }

    /** Refutes a suspicion of this incarnation, or detects a later process with the same id. */
    private void mergeSelf(MemberUpdate update) {
        if (update.getIncarnation() > self.incarnation()) {
            superseded = true;
        } else if (update.getIncarnation() == self.incarnation()
                && update.getRefutation() >= refutationNumber
                && reportsFailure(update)) {
            refutationNumber = update.getRefutation() + 1;
        }
    }

    /** Marks the older of two instances at one address as dead; the last one started owns it. */
    private void retireSameAddress(MemberRow row, Effects out) {
        for (MemberRow other : rows.values()) {
            if (other != row
                    && row.ref().port() != 0
                    && other.ref().port() == row.ref().port()
                    && other.ref().host().equals(row.ref().host())) {
                MemberRow older = other.ref().incarnation() < row.ref().incarnation() ? other : row;
                older.setHealth(MemberRow.Health.DEAD, time.nanoTime());
                recordChange(older, out);
            }
        }
    }

    /** Records the planned shutdown that an instance has announced. */
    void markLeaving(String id, Effects out) {
        MemberRow row = rows.get(id);
        if (row != null && row.markLeaving()) {
            recordChange(row, out);
        }
    }

    void suspect(MemberRow row, Effects out) {
        if (row.health() == MemberRow.Health.UP) {
            row.setHealth(MemberRow.Health.SUSPECT, time.nanoTime());
            recordChange(row, out);
        }
    }

    /** Declares unrefuted suspects dead and removes dead instances that are no longer listed. */
    void expireRows(Effects out) {
        long now = time.nanoTime();
        for (Iterator<MemberRow> i = rows.values().iterator(); i.hasNext(); ) {
            MemberRow row = i.next();
            if (row.health() == MemberRow.Health.SUSPECT
                    && now - row.healthSinceNanos() >= SUSPICION_TIMEOUT_NANOS) {
                row.setHealth(MemberRow.Health.DEAD, now);
                recordChange(row, out);
            } else if (row.health() == MemberRow.Health.DEAD
                    && !row.listed()
                    && now - row.healthSinceNanos() >= UNLISTED_RETENTION_NANOS) {
                i.remove();
                updateQueue.remove(row.ref().id());
                invalidateViews();
            }
        }
    }

    /** Extends running suspicions by the time for which this process was paused. */
    void excludePause(long nanos) {
        for (MemberRow row : rows.values()) {
            if (row.health() == MemberRow.Health.SUSPECT) {
                row.setHealthSince(Math.min(time.nanoTime(), row.healthSinceNanos() + nanos));
            }
        }
    }

    private void recordChange(MemberRow row, Effects out) {
        updateQueue.add(row.ref().id(), rows.size() + 1);
        invalidateViews();
        out.add(new Effect.RecordMetric(CoreMetric.PEER_STATUS_CHANGES, row.status().name(), 1));
    }

    void invalidateViews() {
        live = null;
        peers = null;
    }

    /**
     * Returns the updates for a message to {@code target}: first one about this instance, then, if
     * the target is suspect or dead here, one that it can refute, and then queued ones.
     */
    List<MemberUpdate> updatesFor(String target) {
        List<MemberUpdate> updates = new ArrayList<>();
        updates.add(
                MemberRow.update(
                                self,
                                refutationNumber,
                                leaving ? PeerStatus.LEAVING : PeerStatus.ALIVE)
                        .build());
        MemberRow row = rows.get(target);
        boolean refutable = row != null && row.health() != MemberRow.Health.UP;
        if (refutable) {
            updates.add(row.toUpdate());
        }
        for (String id : updateQueue.take(MAX_UPDATES_PER_MESSAGE - updates.size())) {
            if (!(refutable && id.equals(target)) && rows.containsKey(id)) {
                updates.add(rows.get(id).toUpdate());
            }
        }
        return updates;
    }

    /** Returns updates for all rows, split into parts that each fit into one message. */
    List<List<MemberUpdate>> allUpdates() {
        List<List<MemberUpdate>> parts = new ArrayList<>();
        List<MemberUpdate> part = new ArrayList<>();
        for (MemberRow row : rows.values()) {
            part.add(row.toUpdate());
            if (part.size() == MAX_UPDATES_PER_SYNC_MESSAGE) {
                parts.add(part);
                part = new ArrayList<>();
            }
        }
        if (!part.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }

    /** Returns a hash of the live instances, including this one unless it is leaving; never 0. */
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

    /** Rejects rows without an id or with an invalid port, to which every send would fail. */
    private static boolean isWellFormed(MemberUpdate update) {
        return !update.getId().isEmpty() && update.getPort() >= 0 && update.getPort() <= MAX_PORT;
    }

    private static boolean reportsFailure(MemberUpdate update) {
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
                u.getRegion(),
                u.getLinkMbps());
    }
}
