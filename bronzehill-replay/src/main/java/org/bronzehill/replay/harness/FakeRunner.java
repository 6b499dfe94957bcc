package org.bronzehill.replay.harness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;

/**
 * Application runner that executes every call, without deduplication. It records acts, which are
 * calls with an idempotency key, by that key, so that they can be looked up.
 */
final class FakeRunner {

    private static final long EXECUTION_NANOS = 2 * VirtualTime.NANOS_PER_MS;
    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;

    private final String id;
    private final VirtualTime time;
    private final EventLog log;
    private final Map<String, byte[]> recordedActs;
    private long answersLostUntil;

    /**
     * @param recordedActs bodies of executed acts by idempotency key, shared by all runners
     */
    FakeRunner(String id, VirtualTime time, EventLog log, Map<String, byte[]> recordedActs) {
        this.id = id;
        this.time = time;
        this.log = log;
        this.recordedActs = recordedActs;
    }

    void loseAnswers(long forMs) {
        answersLostUntil = time.now() + forMs * VirtualTime.NANOS_PER_MS;
    }

    void call(Effect.CallService call, String entry, Consumer<Input.ServiceAnswer> done) {
        log.add(new LogEvent.CallReceived(time.now(), id, entry, call.requestId()));
        time.after(
                EXECUTION_NANOS,
                () -> {
                    log.add(
                            new LogEvent.CallExecuted(
                                    time.now(),
                                    id,
                                    entry,
                                    call.operation(),
                                    call.key(),
                                    call.requestId()));
                    if (!call.key().isEmpty()) {
                        recordedActs.put(call.key(), call.body());
                    }
                    reply(done, answer(HTTP_OK, call.body()));
                });
    }

    void lookup(Effect.LookupAct lookup, Consumer<Input.ServiceAnswer> done) {
        byte[] recorded = recordedActs.get(lookup.key());
        time.after(
                EXECUTION_NANOS,
                () ->
                        reply(
                                done,
                                recorded == null
                                        ? answer(HTTP_NOT_FOUND, new byte[0])
                                        : answer(HTTP_OK, recorded)));
    }

    private void reply(Consumer<Input.ServiceAnswer> done, Input.ServiceAnswer answer) {
        if (time.now() >= answersLostUntil) {
            done.accept(answer);
        }
    }

    private static Input.ServiceAnswer answer(int status, byte[] body) {
        return new Input.ServiceAnswer(status, "application/json", body, new HashMap<>());
    }
}
