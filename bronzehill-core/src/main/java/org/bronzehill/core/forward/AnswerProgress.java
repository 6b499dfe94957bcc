package org.bronzehill.core.forward;

/** Times of the answer to one call, and where it came from. All times are monotonic, in ns. */
final class AnswerProgress {

    private static final int NOT_CONNECTED = -1;

    private boolean begun;
    private long firstByteAt;
    private long longestGapNanos;
    private int earlierRequests = NOT_CONNECTED;

    /** Records how many requests the connection of the running attempt has carried before. */
    void onConnected(int requests) {
        earlierRequests = requests;
    }

    /** Records that the running attempt has ended. */
    void onDisconnected() {
        earlierRequests = NOT_CONNECTED;
    }

    /** Records the first part of the answer. */
    void onBegun(long now) {
        begun = true;
        firstByteAt = now;
    }

    /** Records a further part of the answer. */
    void onContinued(long silentNanos) {
        longestGapNanos = Math.max(longestGapNanos, silentNanos);
    }

    boolean hasBegun() {
        return begun;
    }

    long firstByteAt() {
        return firstByteAt;
    }

    long longestGapNanos() {
        return longestGapNanos;
    }

    /** Returns whether the running attempt has a connection. */
    boolean isConnected() {
        return earlierRequests != NOT_CONNECTED;
    }

    /** Returns whether the running attempt has a connection that had carried no other request. */
    boolean isOnNewConnection() {
        return earlierRequests == 0;
    }

    /** Returns how many requests the connection of the running attempt has carried before. */
    int earlierRequests() {
        return earlierRequests;
    }
}
