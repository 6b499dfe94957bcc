package org.bronzehill.core.node;

import java.util.function.BooleanSupplier;
import org.bronzehill.core.result.ResultCode;

/** Decides whether the instance may take requests, and raises or lowers its readiness. */
final class ReadinessState {

    private final BooleanSupplier configurationUpToDate;
    private final BooleanSupplier anyEngineReachable;
    private CoreStatus.Phase phase = CoreStatus.Phase.CHECKING;
    private String reason = "starting";
    private boolean listRead;
    private Boolean lastReported;

    /**
     * Creates a state that is not ready until the first checks have passed.
     *
     * @param caughtUp whether the configuration number in force is the highest one known
     * @param reachesEngine whether the holder of any engine can be reached, if there are engines
     */
    ReadinessState(BooleanSupplier configurationUpToDate, BooleanSupplier anyEngineReachable) {
        this.configurationUpToDate = configurationUpToDate;
        this.anyEngineReachable = anyEngineReachable;
    }

    void onListRead() {
        listRead = true;
    }

    /** Ends readiness until the instance list and the configuration number are known again. */
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

    /** Repeats the checks and reports a change of the readiness. */
    void update(Effects out) {
        if (phase == CoreStatus.Phase.CHECKING
                && listRead
                && configurationUpToDate.getAsBoolean()) {
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

    /** Returns whether work may be given to an upstream or a peer. */
    boolean mayDispatch() {
        return phase == CoreStatus.Phase.READY
                || (phase == CoreStatus.Phase.DRAINING
                        && listRead
                        && configurationUpToDate.getAsBoolean());
    }

    /** Returns why a new request is refused, or null. */
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
