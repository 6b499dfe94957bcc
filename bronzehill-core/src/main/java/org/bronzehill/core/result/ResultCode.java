package org.bronzehill.core.result;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Numbered result of a request or of an operator's command, documented in docs/result-codes.md. */
public enum ResultCode {
    OK(1000, RunState.RUN, Resend.NO, 200, "the answer is complete"),
    RECORDED_ANSWER(
            1001, RunState.RUN, Resend.NO, 200, "the act ran earlier; this is its recorded answer"),

    /** The request cannot be parsed, or a request with the same id is open. */
    MALFORMED_REQUEST(2001, RunState.NOT_RUN, Resend.NO, 400, "the request cannot be parsed"),
    BODY_TOO_LARGE(2002, RunState.NOT_RUN, Resend.NO, 413, "the body exceeds the configured limit"),
    UNAUTHENTICATED(2003, RunState.NOT_RUN, Resend.NO, 401, "no caller has this token"),
    UNKNOWN_ADAPTER(2004, RunState.NOT_RUN, Resend.NO, 404, "no adapter has this name"),
    NOT_ENTITLED(
            2005, RunState.NOT_RUN, Resend.NO, 403, "the caller may not use this adapter or kind"),
    BAD_DEADLINE(
            2006,
            RunState.NOT_RUN,
            Resend.NO,
            400,
            "the deadline is not a positive number in range"),
    UNKNOWN_KIND(2007, RunState.NOT_RUN, Resend.NO, 400, "no kind of request has this name"),
    MISSING_KEY(
            2008, RunState.NOT_RUN, Resend.NO, 400, "a once-only kind needs an Idempotency-Key"),
    UNKNOWN_SERVICE(
            2009, RunState.NOT_RUN, Resend.NO, 404, "no application runner offers this service"),
    KEY_REUSED(2010, RunState.NOT_RUN, Resend.NO, 422, "the key was used with a different request"),

    /**
     * The refusing instance cannot meet the deadline, or the deadline has passed; the request did
     * not run.
     */
    DEADLINE_HOPELESS(3001, RunState.NOT_RUN, Resend.NOW, 429, "the deadline cannot be met here"),
    QUEUE_FULL(3002, RunState.NOT_RUN, Resend.LATER, 429, "the queue is full"),
    SHED(3003, RunState.NOT_RUN, Resend.LATER, 429, "less urgent kinds are refused under overload"),
    /**
     * In a full engine queue, a new request of another team with the same urgency has displaced the
     * request, because the team of the request exceeds its share of the queue.
     */
    MEMBER_LIMIT(3004, RunState.NOT_RUN, Resend.LATER, 429, "the member's share is used up"),
    /**
     * The instance cannot hold a further request: the limit of open requests, of recorded acts, of
     * request bodies in memory, of queued inputs or of unwritten audit records is reached.
     */
    TABLE_FULL(
            3005, RunState.NOT_RUN, Resend.LATER, 429, "a bounded table of the instance is full"),

    NOT_READY(4001, RunState.NOT_RUN, Resend.NOW, 503, "the instance is not ready to serve"),
    NO_HOLDER(
            4002,
            RunState.NOT_RUN,
            Resend.NOW,
            503,
            "no reachable instance holds the engine's lease"),
    NO_UPSTREAM(4003, RunState.NOT_RUN, Resend.LATER, 503, "no upstream can take the request"),
    REDIRECT(4004, RunState.NOT_RUN, Resend.NOW, 503, "another engine is better placed"),
    DRAINING(4005, RunState.NOT_RUN, Resend.NOW, 503, "the instance is shutting down"),
    LOAD_FAILED(
            4006, RunState.NOT_RUN, Resend.LATER, 503, "the adapter could not be loaded in time"),
    /**
     * The lease holder that received the request does not yet have the configuration under which
     * the sending instance routed it.
     */
    CONFIGURATION_BEHIND(
            4007, RunState.NOT_RUN, Resend.NOW, 503, "a newer configuration is in force"),
    /** Earlier requests with the same content have crashed upstreams. */
    CRASHES_UPSTREAMS(
            4008, RunState.NOT_RUN, Resend.NO, 422, "earlier copies crashed their upstreams"),
    NO_WITNESSES(
            4009, RunState.NOT_RUN, Resend.NOW, 503, "too few witnesses answered to claim the act"),
    /** The instance that holds the lease of the engine could not be reached. */
    PEER_UNREACHABLE(
            4010, RunState.NOT_RUN, Resend.NOW, 503, "the peer in charge could not be reached"),
    /**
     * The caller resumes a stream, and it is not certain which software version began it, or the
     * service that began it no longer serves the route.
     */
    STREAM_NOT_RESUMABLE(
            4011,
            RunState.NOT_RUN,
            Resend.NOW,
            503,
            "it is not certain which upstreams can continue the stream"),
    /**
     * The instance can open no connection to any upstream, and none of the other instances that it
     * knows can take the request.
     */
    ISOLATED(
            4012,
            RunState.NOT_RUN,
            Resend.LATER,
            503,
            "no upstream can be reached from here or through another instance"),

    /**
     * The upstream failed while running the request, or the instance that holds its lease is dead
     * or unreachable.
     */
    UPSTREAM_FAILED(
            5001, RunState.MAY_HAVE_RUN, Resend.NOW, 502, "the upstream failed while running it"),
    TRUNCATED(
            5002,
            RunState.MAY_HAVE_RUN,
            Resend.NOW,
            502,
            "the answer ended before it was complete"),
    /**
     * The deadline passed while an attempt was open. The attempt may have been running or still
     * queued.
     */
    DEADLINE_PASSED(
            5003, RunState.MAY_HAVE_RUN, Resend.NOW, 504, "the deadline passed while running it"),
    ACT_MAY_HAVE_RUN(5004, RunState.MAY_HAVE_RUN, Resend.AFTER_LOOKUP, 409, "the act may have run"),
    CANCELLED(5005, RunState.MAY_HAVE_RUN, Resend.NOW, 499, "the caller closed its connection"),
    SILENT_CONNECTION(
            5006, RunState.MAY_HAVE_RUN, Resend.NOW, 504, "the connection made no progress"),
    UPSTREAM_REJECTED(5007, RunState.RUN, Resend.NO, 422, "the upstream refused the content"),

    STALE_PATCH(
            6001, RunState.NOT_RUN, Resend.NO, 409, "the patch names a stale configuration number"),
    INVALID_DECLARATION(6002, RunState.NOT_RUN, Resend.NO, 400, "the declaration has errors"),
    INVALID_PATCH(6003, RunState.NOT_RUN, Resend.NO, 400, "the patch has errors"),
    INVALID_SETTINGS(
            6004, RunState.NOT_RUN, Resend.NO, 400, "flags or environment variables have errors"),
    UNREACHABLE_INSTANCE(6005, RunState.NOT_RUN, Resend.LATER, 503, "the instance did not answer"),
    NO_RECORD(6006, RunState.NOT_RUN, Resend.NO, 404, "no audit record has this request id"),
    /**
     * A replayed trace breaks a rule or has an outcome that differs from the recorded expectation.
     */
    EXPECTATION_FAILED(6007, RunState.NOT_RUN, Resend.NO, 417, "a replayed record differs"),

    INTERNAL(9001, RunState.MAY_HAVE_RUN, Resend.NOW, 500, "an internal error");

    private static final Map<Integer, ResultCode> BY_NUMBER =
            Arrays.stream(values())
                    .collect(Collectors.toMap(ResultCode::number, Function.identity()));

    private final int number;
    private final RunState runState;
    private final Resend resend;
    private final int httpStatus;
    private final String summary;

    ResultCode(int number, RunState runState, Resend resend, int httpStatus, String summary) {
        this.number = number;
        this.runState = runState;
        this.resend = resend;
        this.httpStatus = httpStatus;
        this.summary = summary;
    }

    /** Returns the number under which the code is published. */
    public int number() {
        return number;
    }

    /** Returns whether the request has run. */
    public RunState runState() {
        return runState;
    }

    /** Returns whether to send the request again. */
    public Resend resend() {
        return resend;
    }

    /** Returns the HTTP status that accompanies the code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns a short description in lower case, without a final full stop. */
    public String summary() {
        return summary;
    }

    /** Returns whether the code reports success. */
    public boolean isSuccess() {
        return this == OK || this == RECORDED_ANSWER;
    }

    /** Returns the code with the given number, or {@link #INTERNAL} if there is none. */
    public static ResultCode ofNumber(int number) {
        return BY_NUMBER.getOrDefault(number, INTERNAL);
    }
}
