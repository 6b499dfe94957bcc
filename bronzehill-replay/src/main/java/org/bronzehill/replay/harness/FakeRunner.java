package org.bronzehill.replay.harness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;

/** Application runner that carries out calls without deduplication and records acts by key. */
final class FakeRunner {

    private static final long WORK_NANOS = 2 * VirtualTime.MS;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final String id;
    private final VirtualTime time;
    private final EventLog log;
    private final Map<String, byte[]> acts;
    private long losesAnswersUntil;

    /**
     * @param acts acts recorded by key, shared by all runners of the service
     */
    FakeRunner(String id, VirtualTime time, EventLog log, Map<String, byte[]> acts) {
        this.id = id;
        this.time = time;
        this.log = log;
        this.acts = acts;
    }

    void loseAnswers(long forMs) {
        losesAnswersUntil = time.now() + forMs * VirtualTime.MS;
    }

    void call(Effect.CallService call, String entry, Consumer<Input.ServiceAnswer> done) {
        log.add(new LogEvent.CallReceived(time.now(), id, entry, call.requestId()));
        time.after(
                WORK_NANOS,
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
                        acts.put(call.key(), call.body());
                    }
                    reply(done, answer(OK, call.body()));
                });
    }

    void lookup(Effect.LookupAct lookup, Consumer<Input.ServiceAnswer> done) {
        byte[] recorded = acts.get(lookup.key());
        time.after(
                WORK_NANOS,
                () ->
                        reply(
                                done,
                                recorded == null
                                        ? answer(NOT_FOUND, new byte[0])
                                        : answer(OK, recorded)));
    }

    private void reply(Consumer<Input.ServiceAnswer> done, Input.ServiceAnswer answer) {
        if (time.now() >= losesAnswersUntil) {
            done.accept(answer);
        }
    }

    private static Input.ServiceAnswer answer(int status, byte[] body) {
        return new Input.ServiceAnswer(status, "application/json", body, new HashMap<>());
    }
}
