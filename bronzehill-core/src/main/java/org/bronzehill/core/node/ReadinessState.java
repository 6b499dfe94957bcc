package org.bronzehill.core.node;

import java.util.function.BooleanSupplier;
import org.bronzehill.core.result.ResultCode;

/** Decides whether the instance may accept requests, and reports changes of its readiness. */
final class ReadinessState {

    private final BooleanSupplier confirmedAndNotSuperseded;
    private final BooleanSupplier anyEngineReachable;
    private CoreStatus.Phase phase = CoreStatus.Phase.CHECKING;
    private String reason = "starting";
    private boolean listRead;
    private Boolean lastReported;

    /**
     * Creates a state that is not ready until the first checks have passed.
     *
     * @param confirmedAndNotSuperseded whether the configuration number has been checked since the
     *     start or the last pause, and no later process uses this instance's id
     * @param anyEngineReachable whether, for at least one engine of the region, the lease holder is
     *     reachable or a majority of the grantors is live; true if no engine is listed
     */
    ReadinessState(BooleanSupplier confirmedAndNotSuperseded, BooleanSupplier anyEngineReachable) {
        this.confirmedAndNotSuperseded = confirmedAndNotSuperseded;
        this.anyEngineReachable = anyEngineReachable;
    }

    void onListRead() {
        listRead = true;
    }

    /**
     * Withdraws readiness after a pause of this process, until the instance list has been read and
     * the configuration number has been checked again. The next update replaces the reason, unless
     * the instance is shutting down.
     */
    void onPause() {
        listRead = false;
        if (phase == CoreStatus.Phase.READY) {
            phase = CoreStatus.Phase.CHECKING;
        }
        reason = "re-checking after a pause";
    }

    void onDrain() {
        phase = CoreStatus.Phase.DRAINING;
        reason = "shutting down";
    }

    void onDrained() {
        phase = CoreStatus.Phase.DRAINED;
        reason = "shut down";
    }

    /**
     * Repeats the checks and reports a change of readiness. After a pause, the reason that the
     * instance list has not been read means that it has not been read since the pause.
     */
    void update(Effects out) {
        if (phase == CoreStatus.Phase.CHECKING
                && listRead
                && confirmedAndNotSuperseded.getAsBoolean()) {
            phase = CoreStatus.Phase.READY;
        }
        boolean engines = anyEngineReachable.getAsBoolean();
        boolean ready = phase == CoreStatus.Phase.READY && engines;
        if (phase == CoreStatus.Phase.READY) {
            reason = engines ? "" : "the holder of no engine can be reached";
        } else if (phase == CoreStatus.Phase.CHECKING && !listRead) {
            reason = "the instance list has not been read";
        } else if (phase == CoreStatus.Phase.CHECKING) {
            reason = "the configuration number is not confirmed";
        }
        if (lastReported == null || lastReported != ready) {
            lastReported = ready;
            out.add(new Effect.SetReady(ready, reason));
        }
    }

    /** Returns whether requests may be sent to an upstream or a peer. */
    boolean mayDispatch() {
        return phase == CoreStatus.Phase.READY
                || (phase == CoreStatus.Phase.DRAINING
                        && listRead
                        && confirmedAndNotSuperseded.getAsBoolean());
    }

    /** Returns the code with which new requests are refused, or null if they are accepted. */
    ResultCode refusal() {
        return switch (phase) {
            case CHECKING -> ResultCode.NOT_READY;
            case READY -> null;
            case DRAINING, DRAINED -> ResultCode.DRAINING;
        };
    }

    CoreStatus.Phase phase() {
        return phase;
    }

    boolean isDraining() {
        return phase == CoreStatus.Phase.DRAINING || phase == CoreStatus.Phase.DRAINED;
    }

    String reason() {
        return reason;
    }
}
