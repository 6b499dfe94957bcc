package org.bronzehill.core.forward;

import java.util.Comparator;

/**
 * Position in the history of the platform's store. The store begins a new era when it is restored
 * from an older copy of its contents. Revisions of the era before are then assigned again, so
 * revisions can be compared within one era only.
 *
 * @param era 0 if the store states no era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** Position before the first change. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this position is later than another one. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the later one of this position and another one. */
    public StorePosition orLater(StorePosition other) {
        return other.isAfter(this) ? other : this;
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
