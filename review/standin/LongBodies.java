package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** More clients than usual send bodies of the size that the limits allow. */
final class LongBodies {

    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int USUAL_CLIENTS = 14;
    private static final double BURST = 2.4;

    /** Bandwidth of a client: 33 of them send 330 Mbit/s over the machine's link of 1,000. */
    private static final double BYTES_PER_SECOND = 1.25e6;

    private static final int SMALL_CLIENTS = 12;
    private static final int SMALL_TIMEOUT_MS = 600;
    private static final int LONG_TIMEOUT_MS = 12_000;
    private static final int SECONDS = 20;

    private static String route(String name, int timeoutMs) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"site.example\",\"prefix\":\"/" + name
                + "/\",\"kind\":\"non_idempotent\",\"timeoutMs\":" + timeoutMs
                + ",\"targetLatencyMs\":121,\"priority\":2,\"service\":\"rounds-app\","
                + "\"maxAttempts\":1}";
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int longClients = trouble ? (int) (USUAL_CLIENTS * BURST) : USUAL_CLIENTS;
        int exit = 2;
        byte[] body = new byte[MAX_BODY_BYTES];
        try (Entries entries = new Entries(Path.of(args[0], "record.txt"));
                Store store = new Store("127.0.0.1", 20_000)) {
            List<App> apps = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                App app = new App(entries, "i-app" + i, "rounds-app", 6, 24, 20);
                apps.add(app);
                store.put("servers/" + app.id, app.storeRecord("z" + i, false));
            }
            store.put(
                    "op/config",
                    "{\"version\":1,\"routes\":[" + route("long", LONG_TIMEOUT_MS) + ","
                            + route("small", SMALL_TIMEOUT_MS)
                            + "],\"services\":[{\"name\":\"rounds-app\",\"maxConns\":110}],"
                            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
                            + MAX_BODY_BYTES
                            + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
            Entries.Entry edge = entries.startAll(1, store.address(), 2000).get(0);
            Map<Integer, Integer> longStatuses = new ConcurrentHashMap<>();
            Map<Integer, Integer> smallStatuses = new ConcurrentHashMap<>();
            AtomicInteger overdue = new AtomicInteger();
            AtomicInteger unanswered = new AtomicInteger();
            AtomicInteger notReady = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            entries.note(
                    "%d clients send bodies of %d bytes, %d send small ones",
                    longClients, MAX_BODY_BYTES, SMALL_CLIENTS);
            double until = entries.seconds() + SECONDS;
            for (int i = 0; i < longClients + SMALL_CLIENTS; i++) {
                boolean isLong = i < longClients;
                threads.add(
                        Http.thread(
                                "client",
                                () -> {
                                    try (Caller c = new Caller(edge.front())) {
                                        c.bytesPerSecond = BYTES_PER_SECOND;
                                        while (entries.seconds() < until) {
                                            String attempt = Caller.newAttempt();
                                            double sent = entries.seconds();
                                            Http.Message a =
                                                    c.call(
                                                            "POST",
                                                            isLong ? "/long/x" : "/small/x",
                                                            attempt,
                                                            LONG_TIMEOUT_MS,
                                                            isLong ? body : Http.bytes("draw"));
                                            int status = a == null ? 0 : a.status();
                                            (isLong ? longStatuses : smallStatuses)
                                                    .merge(status, 1, Integer::sum);
                                            double ms = (entries.seconds() - sent) * 1000;
                                            if (isLong) {
                                                entries.note(
                                                        "%s long: answer %d after %.0f ms",
                                                        attempt, status, ms);
                                                continue;
                                            }
                                            if (ms > SMALL_TIMEOUT_MS) {
                                                overdue.incrementAndGet();
                                                entries.note(
                                                        "%s small: answer %d after %.0f ms, ran %s",
                                                        attempt, status, ms,
                                                        hasRun(apps, attempt));
                                            }
                                            if (ms > SMALL_TIMEOUT_MS + 500) {
                                                unanswered.incrementAndGet();
                                            }
                                            Thread.sleep(20);
                                        }
                                    }
                                }));
            }
            threads.add(
                    Http.thread(
                            "readiness",
                            () -> {
                                while (entries.seconds() < until) {
                                    if (!edge.isReady()) {
                                        notReady.incrementAndGet();
                                    }
                                    Thread.sleep(1000);
                                }
                            }));
            for (Thread t : threads) {
                t.join();
            }
            long outOfMemory =
                    edge.log().stream().filter(l -> l.contains("OutOfMemoryError")).count();
            entries.note(
                    "long requests by status (0: closed without an answer) %s; small ones %s",
                    longStatuses, smallStatuses);
            entries.note(
                    "the instance's log has %d lines with OutOfMemoryError; %d questions for its"
                            + " readiness without a 200 in a second; it is %s",
                    outOfMemory, notReady.get(), edge.process.isAlive() ? "alive" : "ended");
            entries.note(
                    "small requests unanswered at their route's timeoutMs %d, of these without an"
                            + " answer half a second later %d",
                    overdue.get(), unanswered.get());
            boolean hangs = overdue.get() >= 8 && unanswered.get() * 2 > overdue.get();
            exit =
                    hangs || !edge.process.isAlive()
                            ? 1
                            : smallStatuses.getOrDefault(200, 0) > 100 ? 0 : 2;
        }
        System.exit(exit);
    }

    private static boolean hasRun(List<App> apps, String attempt) {
        return apps.stream()
                .anyMatch(a -> a.runs.stream().anyMatch(r -> r.attempt().equals(attempt)));
    }
}
