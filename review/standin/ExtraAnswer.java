package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners that sometimes send an answer a second time, late: at the point where the next answer on
 * the connection is expected. The extra answer bears the attempt id of the request it answers.
 */
final class ExtraAnswer {

    private static final int DEADLINE_MS = 4000;

    /** The disruption lasts so long, and comes again after a pause. */
    private static final double SPELL_S = 5;

    private static final double SPELL_PERIOD_S = 6;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int runners = 1;
        int callers = 18;
        int seconds = 90;
        int lightCallers = 6;
        double lightThink = 60;
        double think = 30;
        double share = 0.03;
        int exit = 2;
        try (Entries entries = new Entries(Path.of(args[0], "record.txt"));
                Store store = new Store("127.0.0.1", 20_000)) {
            Random random = new Random(7);
            AtomicInteger extras = new AtomicInteger();
            List<App> apps = new ArrayList<>();
            for (int i = 0; i < runners; i++) {
                App app =
                        new App(entries, "i-app" + i, "ledger-app", 6, 3, 21) {
                            @Override
                            void afterAnswer(
                                    Http.Message request, int status, byte[] answer,
                                    Http.Connection c) {
                                synchronized (random) {
                                    if (trouble
                                            && entries.seconds() % SPELL_PERIOD_S < SPELL_S
                                            && random.nextDouble() < share) {
                                        c.dueBeforeNextAnswer = answer;
                                        extras.incrementAndGet();
                                        entries.note(
                                                "%s will send its answer %d to %s once more",
                                                id, status,
                                                request.header("Bronzehill-Attempt-Id"));
                                    }
                                }
                            }
                        };
                apps.add(app);
                store.put("servers/" + app.id, app.storeRecord("z" + i, false));
            }
            for (int i = 0; i < 2; i++) {
                App sound = new App(entries, "i-sound" + i, "rounds-app", 6, 24, 21);
                store.put("servers/" + sound.id, sound.storeRecord("z" + i, false));
            }
            store.put(
                    "op/config",
                    "{\"version\":1,\"routes\":[{\"name\":\"r-draw\",\"host\":\"site.example\","
                            + "\"prefix\":\"/draw/\",\"kind\":\"non_idempotent\",\"timeoutMs\":"
                            + DEADLINE_MS + ",\"targetLatencyMs\":386,\"priority\":2,"
                            + "\"service\":\"ledger-app\",\"maxAttempts\":1}],"
                            + "\"services\":[{\"name\":\"ledger-app\",\"maxConns\":110},{\"name\":\"rounds-app\",\"maxConns\":110}],"
                            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
            List<Entries.Entry> edges = entries.startAll(3, store.address(), 2000);
            double until = entries.seconds() + seconds;
            Map<String, Integer> statuses = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < callers; i++) {
                boolean light = i < lightCallers;
                String front = edges.get(light ? i % 2 : 2).front();
                clients.add(
                        Http.thread(
                                "client",
                                () -> {
                                    try (Caller c = new Caller(front)) {
                                        while (entries.seconds() < until) {
                                            String attempt = Caller.newAttempt();
                                            Http.Message a = c.call(
                                                    "POST", "/draw/x", attempt, DEADLINE_MS,
                                                    Http.bytes("draw"));
                                            statuses.put(attempt, a == null ? 0 : a.status());
                                            Thread.sleep((long) (-(light ? lightThink : think) * Math.log(1 - Math.random())));
                                        }
                                    }
                                }));
            }
            for (Thread t : clients) {
                t.join();
            }
            Thread.sleep(500);
            Map<String, List<String>> ran = new HashMap<>();
            for (App app : apps) {
                app.runs.forEach(
                        r -> ran.computeIfAbsent(r.attempt(), k -> new ArrayList<>())
                                .add("%s at %.3f".formatted(app.id, r.atSeconds())));
            }
            int twice = 0;
            int refused = 0;
            for (Map.Entry<String, List<String>> e : ran.entrySet()) {
                int status = statuses.getOrDefault(e.getKey(), 0);
                if (e.getValue().size() > 1) {
                    twice++;
                    entries.note(
                            "%s ran more than once, answered %d: %s",
                            e.getKey(), status, e.getValue());
                } else if (status == 503 || status == 429) {
                    refused++;
                    entries.note(
                            "%s ran and was answered %d: %s", e.getKey(), status, e.getValue());
                }
            }
            Map<Integer, Integer> counts = new HashMap<>();
            statuses.values().forEach(s -> counts.merge(s, 1, Integer::sum));
            entries.note(
                    "answers by status %s, extra answers %d, requests that ran more than once %d,"
                            + " that ran and were answered as not run %d",
                    counts, extras.get(), twice, refused);
            exit = twice + refused > 0 ? 1 : counts.getOrDefault(200, 0) > 100 ? 0 : 2;
        }
        System.exit(exit);
    }
}
