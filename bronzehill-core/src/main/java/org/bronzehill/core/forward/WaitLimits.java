package org.bronzehill.core.forward;

/** Times until which a request may wait before it is sent to an upstream or refused. */
final class WaitLimits {

    /** Limit for waits and retries, as part of the time limit for the first event. */
    private static final double SEND_DEADLINE_FRACTION = 0.9;

    /**
     * Limit for the wait of a stream for a place at an upstream, as part of its target. The rest of
     * the target is for the prompts that are read before and for its own.
     */
    private static final double QUEUE_DEADLINE_FRACTION = 0.5;

    private WaitLimits() {}

    /**
     * Returns the monotonic time limit for waits and retries.
     *
     * @param answerBegun whether a part of the answer has reached the caller
     */
    static long sendDeadlineNanos(ForwardRequest request, boolean answerBegun) {
        if (answerBegun) {
            return request.deadlineNanos();
        }
        long limit = request.firstEventDeadlineNanos() - request.arrivedNanos();
        return request.arrivedNanos() + (long) (limit * SEND_DEADLINE_FRACTION);
    }

    /**
     * Returns the monotonic time until which the request may wait for a place at an upstream. A
     * stream that would be sent later would miss its target, and delay others that can still meet
     * theirs. One that may have run waits longer, since its caller is not told to try again.
     *
     * @param answerBegun whether a part of the answer has reached the caller
     * @param mayHaveRun whether an upstream may have run the request
     */
    static long queueDeadlineNanos(
            ForwardRequest request, boolean answerBegun, boolean mayHaveRun) {
        if (answerBegun || mayHaveRun || !request.route().kind().isStream()) {
            return sendDeadlineNanos(request, answerBegun);
        }
        long limit = (long) (request.target().toNanos() * QUEUE_DEADLINE_FRACTION);
        return request.arrivedNanos() + limit;
    }
}
