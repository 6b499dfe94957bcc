package review;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a runner of a plain service: runs a few requests at once, queues a few more, rejects
 * the rest as not executed, and records what it has run.
 */
class App implements AutoCloseable {

    /** One run of a request. */
    record Run(String attempt, String target, double atSeconds) {}

    final String id;
    final String service;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Http.Server server;
    private final Entries entries;
    private final Semaphore slots;
    private final int slotCount;
    private final int queue;
    private final int workMs;
    private final AtomicInteger present = new AtomicInteger();
    private final long born = System.currentTimeMillis();

    App(Entries entries, String id, String service, int slots, int queue, int workMs)
            throws Exception {
        this.entries = entries;
        this.id = id;
        this.service = service;
        this.slotCount = slots;
        this.slots = new Semaphore(slots, true);
        this.queue = queue;
        this.workMs = workMs;
        this.server = new Http.Server("127.0.0.1", this::handle);
    }

    String address() {
        return server.address();
    }

    String storeRecord(String zone, boolean draining) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":" + slotCount + ",\"state\":\""
                + (draining ? "draining" : "ready")
                + "\",\"coldLeftMs\":0,\"models\":[],\"seq\":0,\"born\":" + born + "}";
    }

    /** Returns the body of the answer. */
    byte[] body(Http.Message request) {
        return Http.bytes("answer to " + request.header("Bronzehill-Attempt-Id"));
    }

    /** Returns whether the run of a request fails: the runner's own 500, which counts as run. */
    boolean fails(Http.Message request) {
        return false;
    }

    /** Called with each complete answer after it was written. */
    void afterAnswer(Http.Message request, int status, byte[] answer, Http.Connection c)
            throws Exception {}

    private boolean handle(Http.Message request, Http.Connection c) throws Exception {
        if (c.dueBeforeNextAnswer != null) {
            c.out.write(c.dueBeforeNextAnswer);
            c.dueBeforeNextAnswer = null;
        }
        String attempt = request.header("Bronzehill-Attempt-Id");
        String echo = "Date: Sat, 05 Dec 2026 12:00:00 GMT\r\nServer: runner\r\n"
                + "Content-Type: application/octet-stream\r\nBronzehill-Attempt-Id: " + attempt + "\r\nBronzehill-Instance-Id: " + id
                + "\r\n";
        if (!request.header("Bronzehill-Expect-Instance").equals(id)) {
            c.out.write(Http.answer(421, echo + "Bronzehill-Not-Executed: 1\r\n", new byte[0]));
            return true;
        }
        byte[] answer;
        int status;
        if (present.incrementAndGet() > slotCount + queue) {
            present.decrementAndGet();
            status = 503;
            answer = Http.answer(503, echo + "Bronzehill-Not-Executed: 1\r\n", new byte[0]);
        } else {
            slots.acquire();
            runs.add(new Run(attempt, request.target(), entries.seconds()));
            Thread.sleep(workMs);
            slots.release();
            present.decrementAndGet();
            status = fails(request) ? 500 : 200;
            answer = Http.answer(
                    status, echo + "Bronzehill-Server-Signature: sig-" + id + "\r\n", body(request));
        }
        c.out.write(answer);
        afterAnswer(request, status, answer, c);
        return true;
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
