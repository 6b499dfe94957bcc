package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A large configuration changes in quick succession; the last change moves a route. */
final class ConfigStorm {

    /** Size of a configuration; the store takes values of 1,048,576 bytes. */
    private static final int CONFIG_BYTES = 1_000_000;

    /** Pause between two changes, and length of the storm. */
    private static final long GAP_MS = 240;

    private static final long STORM_MS = 4300;

    static String config(int version, String movingTo, int bytes) {
        StringBuilder s = new StringBuilder();
        s.append("{\"version\":").append(version).append(",\"routes\":[");
        s.append(route("moving", "/moving/", movingTo));
        String tail = "],\"services\":[" + service("old-app") + "," + service("new-app")
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        for (int i = 0; ; i++) {
            String r = "," + route("r-idle" + i, "/idle" + i + "/", "old-app");
            if (s.length() + r.length() + tail.length() > bytes) {
                break;
            }
            s.append(r);
        }
        return s.append(tail).toString();
    }

    private static String route(String name, String prefix, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":200,"
                + "\"priority\":2,\"service\":\"" + service + "\",\"maxAttempts\":2}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int bytes = CONFIG_BYTES;
        int exit = 2;
        try (Entries entries = new Entries(Path.of(args[0], "record.txt"));
                Store store = new Store("127.0.0.1", 20_000)) {
            List<App> old = new ArrayList<>();
            List<App> fresh = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                old.add(new App(entries, "i-old" + i, "old-app", 6, 24, 15));
                fresh.add(new App(entries, "i-new" + i, "new-app", 6, 24, 15));
                store.put("servers/i-old" + i, old.get(i).storeRecord("z" + i, false));
                store.put("servers/i-new" + i, fresh.get(i).storeRecord("z" + i, false));
            }
            int version = 1;
            store.put("op/config", config(version, "old-app", bytes));
            List<Entries.Entry> edges = entries.startAll(2, store.address(), 2000);
            long gap = GAP_MS;
            int changes = trouble ? (int) (STORM_MS / gap) : 0;
            for (int i = 0; i < changes; i++) {
                store.put("op/config", config(++version, "old-app", bytes));
                entries.note("version %d is acknowledged", version);
                Thread.sleep(gap);
            }
            store.put("op/config", config(++version, "new-app", bytes));
            double acknowledged = entries.seconds();
            entries.note("version %d moves the route and is acknowledged", version);
            AtomicInteger late = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            AtomicInteger good = new AtomicInteger();
            for (Entries.Entry edge : edges) {
                clients.add(
                        Http.thread(
                                "client",
                                () -> {
                                    try (Caller c = new Caller(edge.front())) {
                                        while (entries.seconds() < acknowledged + 26) {
                                            String attempt = Caller.newAttempt();
                                            double sent = entries.seconds();
                                            Http.Message a = c.call(
                                                    "GET", "/moving/x", attempt, 2000, new byte[0]);
                                            boolean byOld = old.stream().anyMatch(
                                                    o -> o.runs.stream().anyMatch(
                                                            r -> r.attempt().equals(attempt)));
                                            double after = sent - acknowledged;
                                            if (after > 2.0 && byOld) {
                                                late.incrementAndGet();
                                            } else if (after > 2.0 && a != null
                                                    && a.status() == 200) {
                                                good.incrementAndGet();
                                            }
                                            entries.note(
                                                    "%s %s sent %.3f s after the acknowledgement:"
                                                            + " answer %s, run by the %s service",
                                                    edge.name, attempt, after,
                                                    a == null ? "none" : a.status(),
                                                    byOld ? "old" : "new");
                                            Thread.sleep(200);
                                        }
                                    }
                                }));
            }
            for (Thread t : clients) {
                t.join();
            }
            entries.note(
                    "later than 2 s after the acknowledgement: %d requests run by the old service,"
                            + " %d by the new one",
                    late.get(), good.get());
            exit = late.get() > 0 ? 1 : good.get() > 0 ? 0 : 2;
        }
        System.exit(exit);
    }
}
