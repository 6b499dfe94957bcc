package org.bronzehill.core.node;

/** Generates ids for attempts, orders and calls, which are unique within one incarnation. */
public final class IdSequence {

    private long last;

    private IdSequence() {}

    /** Creates a sequence that starts at 1. */
    public static IdSequence create() {
        return new IdSequence();
    }

    /** Returns the next number. */
    public long next() {
        return ++last;
    }
}
