package org.bronzehill.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bronzehill.config.Urgency;

/**
 * Queue ordered by urgency class, between teams by weighted service, and within a team by earliest
 * deadline.
 *
 * <p>Each team has a virtual time that grows by {@code weight / share} with each unit of service.
 * The team with the lowest virtual time is served first. A team is active while it has queued
 * items. A team that becomes active again starts at no less than the lowest virtual time of the
 * active teams. It is therefore not compensated for the service that the others received while it
 * was idle, but is served before every team with a higher virtual time.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {

    /** Number of accounts at which those of teams without queued items are dropped. */
    private static final int MAX_TEAM_ACCOUNTS = 1024;

    private static final double MIN_SHARE = 1e-3;

    private final Map<Urgency, Map<String, TreeSet<Entry<T>>>> classes =
            new EnumMap<>(Urgency.class);
    private final Map<Urgency, Integer> sizes = new EnumMap<>(Urgency.class);
    private final Map<String, Account> accounts = new HashMap<>();
    private final List<String> teamOrder = new ArrayList<>();
    private long sequence;
    private int size;
    private double lastVirtualTime;

    private FairQueue() {
        for (Urgency u : Urgency.values()) {
            classes.put(u, new HashMap<>());
            sizes.put(u, 0);
        }
    }

    /** Creates an empty queue. */
    public static <T> FairQueue<T> create() {
        return new FairQueue<>();
    }

    /** Adds an item and returns its entry, which is the argument of {@link #remove}. */
    public Entry<T> add(T item, Urgency urgency, String team, double share, long deadlineNanos) {
        Account account = account(team, share);
        if (account.queued == 0) {
            account.virtualTime = Math.max(account.virtualTime, minActiveVirtualTime());
        }
        account.queued++;
        Entry<T> entry = new Entry<>(item, urgency, team, deadlineNanos, sequence++);
        classes.get(urgency).computeIfAbsent(team, t -> new TreeSet<>(Entry.ORDER)).add(entry);
        sizes.merge(urgency, 1, Integer::sum);
        size++;
        return entry;
    }

    /** Removes an entry; returns false if it was not in the queue. */
    public boolean remove(Entry<T> entry) {
        Map<String, TreeSet<Entry<T>>> teams = classes.get(entry.urgency());
        TreeSet<Entry<T>> entries = teams.get(entry.team());
        if (entries == null || !entries.remove(entry)) {
            return false;
        }
        if (entries.isEmpty()) {
            teams.remove(entry.team());
        }
        Account account = accounts.get(entry.team());
        account.queued--;
        lastVirtualTime =
                Math.max(lastVirtualTime, Math.min(account.virtualTime, minActiveVirtualTime()));
        sizes.merge(entry.urgency(), -1, Integer::sum);
        size--;
        return true;
    }

    /** Returns the first entry whose item is ready, or null; the entry stays in the queue. */
    public Entry<T> first(Predicate<T> ready) {
        for (Urgency u : Urgency.values()) {
            if (sizes.get(u) == 0) {
                continue;
            }
            Map<String, TreeSet<Entry<T>>> teams = classes.get(u);
            teamOrder.clear();
            teamOrder.addAll(teams.keySet());
            teamOrder.sort(
                    Comparator.<String>comparingDouble(t -> accounts.get(t).virtualTime)
                            .thenComparing(Comparator.naturalOrder()));
            for (String team : teamOrder) {
                for (Entry<T> e : teams.get(team)) {
                    if (ready.test(e.item())) {
                        return e;
                    }
                }
            }
        }
        return null;
    }

    /**
     * Returns the entry to displace in favour of a new item of {@code team}, or null. The classes
     * are searched from the least urgent one to that of the new item, until one has a displaceable
     * item. In a less urgent class than that of the new item, items of every team are displaceable.
     * In the class of the new item, only items of teams that exceed their share of the queue and
     * have more queued items relative to their share than {@code team} would have with the new
     * item. Among these teams, the one with the most queued items relative to its share is
     * selected; its item with the latest deadline is displaced.
     */
    public Entry<T> displaceableFor(String team, double share, Urgency urgency) {
        double shares = 0;
        boolean alreadyQueued = false;
        for (Map.Entry<String, Account> a : accounts.entrySet()) {
            if (a.getValue().queued > 0) {
                shares += a.getValue().share;
                alreadyQueued |= a.getKey().equals(team);
            }
        }
        shares += alreadyQueued ? 0 : Math.max(MIN_SHARE, share);
        Account own = accounts.get(team);
        double ownRatio = (own == null ? 1 : own.queued + 1) / Math.max(MIN_SHARE, share);
        Urgency[] urgencies = Urgency.values();
        for (int i = urgencies.length - 1; i >= urgency.ordinal(); i--) {
            Entry<T> best = null;
            double bestRatio = urgencies[i] == urgency ? ownRatio : 0;
            for (Map.Entry<String, TreeSet<Entry<T>>> teamEntries :
                    classes.get(urgencies[i]).entrySet()) {
                Account a = accounts.get(teamEntries.getKey());
                double ratio = a.queued / a.share;
                boolean mayBeDisplaced =
                        urgencies[i] != urgency || a.queued > size * a.share / shares;
                if (mayBeDisplaced && ratio > bestRatio) {
                    bestRatio = ratio;
                    best = teamEntries.getValue().last();
                }
            }
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    /** Charges service to a team; a negative weight reverses a charge. */
    public void charge(String team, double share, double weight) {
        Account account = account(team, share);
        account.virtualTime += weight / account.share;
    }

    /** Calls {@code action} with every item; the action must not change the queue. */
    public void forEach(Consumer<T> action) {
        for (Map<String, TreeSet<Entry<T>>> teams : classes.values()) {
            for (TreeSet<Entry<T>> entries : teams.values()) {
                for (Entry<T> e : entries) {
                    action.accept(e.item());
                }
            }
        }
    }

    /** Returns the number of queued items. */
    public int size() {
        return size;
    }

    /** Returns the number of queued items of the class and of all more urgent ones. */
    public int sizeUpTo(Urgency urgency) {
        int sum = 0;
        for (Urgency u : Urgency.values()) {
            sum += u.ordinal() <= urgency.ordinal() ? sizes.get(u) : 0;
        }
        return sum;
    }

    private Account account(String team, double share) {
        Account account = accounts.get(team);
        if (account == null) {
            if (accounts.size() >= MAX_TEAM_ACCOUNTS) {
                accounts.values().removeIf(a -> a.queued == 0);
            }
            account = new Account(minActiveVirtualTime());
            accounts.put(team, account);
        }
        account.share = Math.max(MIN_SHARE, share);
        return account;
    }

    /**
     * Returns the lowest virtual time of the teams with queued items, or the last known one if
     * there are none.
     */
    private double minActiveVirtualTime() {
        double floor = Double.MAX_VALUE;
        for (Account a : accounts.values()) {
            if (a.queued > 0) {
                floor = Math.min(floor, a.virtualTime);
            }
        }
        return floor == Double.MAX_VALUE ? lastVirtualTime : floor;
    }

    private static final class Account {
        private double virtualTime;
        private double share;
        private int queued;

        Account(double virtualTime) {
            this.virtualTime = virtualTime;
        }
    }

    /** A queued item with its position in the order. */
    public record Entry<T>(
            T item, Urgency urgency, String team, long deadlineNanos, long sequence) {

        private static final Comparator<Entry<?>> ORDER =
                Comparator.<Entry<?>>comparingLong(Entry::deadlineNanos)
                        .thenComparingLong(Entry::sequence);
    }
}
