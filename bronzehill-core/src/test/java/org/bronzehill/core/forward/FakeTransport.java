package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.result.ResultCode;

/** Records the operations that a call requests from its transport. */
final class FakeTransport implements CallTransport {

    private final List<Attempt> attempts = new ArrayList<>();
    private ForwardCall call;
    private int cancelled;
    private boolean canContinue = true;
    private boolean connected;
    private ResultCode refusedWith;
    private Option<Duration> retryAfter = Option.none();
    private ResultCode abortedWith;
    private Runnable onFirstSend = () -> {};
    private Runnable onSend = () -> {};
    private Runnable onRefused = () -> {};

    @Override
    public void onOpened(ForwardCall opened) {
        call = opened;
    }

    @Override
    public void send(Attempt attempt) {
        if (attempts.isEmpty()) {
            onFirstSend.run();
        }
        attempts.add(attempt);
        onSend.run();
    }

    @Override
    public boolean canContinue() {
        return canContinue;
    }

    @Override
    public boolean hasConnection(UpstreamRecord upstream, long sinceNanos) {
        return connected;
    }

    /** Makes all upstreams have connections that are idle and work. */
    void setConnected() {
        connected = true;
    }

    void setCanContinue(boolean value) {
        canContinue = value;
    }

    @Override
    public void cancelAttempt() {
        cancelled++;
    }

    @Override
    public void answerError(ResultCode code, Option<Duration> after) {
        refusedWith = code;
        retryAfter = after;
        onRefused.run();
    }

    @Override
    public void abortAnswer(ResultCode code) {
        abortedWith = code;
    }

    /** Sets the action that follows each sent attempt. */
    void onSend(Runnable action) {
        onSend = action;
    }

    void onFirstSend(Runnable action) {
        onFirstSend = action;
    }

    void onRefused(Runnable action) {
        onRefused = action;
    }

    ForwardCall call() {
        return call;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    Attempt last() {
        return attempts.get(attempts.size() - 1);
    }

    int cancelled() {
        return cancelled;
    }

    ResultCode refusedWith() {
        return refusedWith;
    }

    Option<Duration> retryAfter() {
        return retryAfter;
    }

    ResultCode abortedWith() {
        return abortedWith;
    }
}
