package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner that sometimes sends additional bytes after a complete answer: the same answer once more,
 * broken off somewhere in its headers.
 */
final class BrokenExtra {

    private static final int DEADLINE_MS = 4000;
    private static final int SECONDS = 60;
    private static final int CALLERS = 12;

    /** The disruption lasts so long, and comes again after a pause. */
    private static final double SPELL_S = 5;

    private static final double SPELL_PERIOD_S = 6;

    /** Share of the answers of one runner of two. */
    private static final double SHARE = 0.03;

    /** Share of runs that fail with the runner's own 500. */
    private static final double FAILURES = 0.14;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Entries entries = new Entries(Path.of(args[0], "record.txt"));
                Store store = new Store("127.0.0.1", 20_000)) {
            Random random = new Random();
            AtomicInteger extras = new AtomicInteger();
            Map<String, Integer> made = new ConcurrentHashMap<>();
            List<App> apps = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                boolean faulty = trouble && i == 0;
                App app =
                        new App(entries, "i-app" + i, "ledger-app", 6, 24, 15) {
                            @Override
                            boolean fails(Http.Message request) {
                                return Math.random() < FAILURES;
                            }

                            @Override
                            void afterAnswer(
                                    Http.Message request, int status, byte[] answer,
                                    Http.Connection c)
                                    throws Exception {
                                String attempt = request.header("Bronzehill-Attempt-Id");
                                made.put(attempt, status);
                                if (faulty
                                        && entries.seconds() % SPELL_PERIOD_S < SPELL_S
                                        && random.nextDouble() < SHARE) {
                                    String text = new String(answer, StandardCharsets.US_ASCII);
                                    int head = text.indexOf("\r\n\r\n");
                                    int cut = 1 + random.nextInt(head);
                                    c.out.write(Arrays.copyOf(answer, cut));
                                    extras.incrementAndGet();
                                    entries.note(
                                            "%s sends %d bytes after its answer %d to %s: %s",
                                            id, cut, status, attempt,
                                            text.substring(0, cut).replaceAll("\r\n", " | "));
                                }
                            }
                        };
                apps.add(app);
                store.put("servers/" + app.id, app.storeRecord("z" + i, false));
            }
            store.put(
                    "op/config",
                    "{\"version\":1,\"routes\":[{\"name\":\"r-draw\",\"host\":\"site.example\","
                            + "\"prefix\":\"/draw/\",\"kind\":\"non_idempotent\",\"timeoutMs\":"
                            + DEADLINE_MS + ",\"targetLatencyMs\":386,\"priority\":2,"
                            + "\"service\":\"ledger-app\",\"maxAttempts\":1}],"
                            + "\"services\":[{\"name\":\"ledger-app\",\"maxConns\":110}],"
                            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
            List<Entries.Entry> edges = entries.startAll(2, store.address(), 2000);
            double until = entries.seconds() + SECONDS;
            Map<String, Integer> statuses = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                String front = edges.get(i % edges.size()).front();
                clients.add(
                        Http.thread(
                                "client",
                                () -> {
                                    try (Caller c = new Caller(front)) {
                                        while (entries.seconds() < until) {
                                            String attempt = Caller.newAttempt();
                                            Http.Message a =
                                                    c.call(
                                                            "POST", "/draw/x", attempt,
                                                            DEADLINE_MS, Http.bytes("draw"));
                                            boolean signed = a != null
                                                    && !a.header("Bronzehill-Server-Signature")
                                                            .isEmpty();
                                            int status = a == null ? 0 : a.status();
                                            statuses.put(attempt, signed ? status : -status);
                                            Thread.sleep((long) (Math.random() * 30));
                                        }
                                    }
                                }));
            }
            for (Thread t : clients) {
                t.join();
            }
            Thread.sleep(300);
            int falseSuccess = 0;
            int falseFailure = 0;
            int twice = 0;
            int lost = 0;
            for (Map.Entry<String, Integer> e : statuses.entrySet()) {
                long runs =
                        apps.stream()
                                .flatMap(a -> a.runs.stream())
                                .filter(r -> r.attempt().equals(e.getKey()))
                                .count();
                int runner = made.getOrDefault(e.getKey(), 0);
                int got = e.getValue();
                boolean wrong = got > 0 && got != runner;
                falseSuccess += wrong && got < 300 ? 1 : 0;
                falseFailure += wrong && got >= 400 ? 1 : 0;
                twice += runs > 1 ? 1 : 0;
                lost += got <= 0 && runs > 0 ? 1 : 0;
                if (wrong || runs > 1 || (got <= 0 && runs > 0)) {
                    entries.note(
                            "%s: runs %d, the runner answered %d, the client got %d%s",
                            e.getKey(), runs, runner, Math.abs(got),
                            got > 0 ? " with the runner's signature" : "");
                }
            }
            entries.note(
                    "%d requests, %d broken extra answers; success though the runner answered a"
                            + " failure: %d; signed failure with another status than the"
                            + " runner's: %d; run more than once: %d; run, but answered by the"
                            + " instance: %d",
                    statuses.size(), extras.get(), falseSuccess, falseFailure, twice, lost);
            exit =
                    falseSuccess + falseFailure + twice > 0
                            ? 1
                            : statuses.containsValue(200) ? 0 : 2;
        }
        System.exit(exit);
    }
}
