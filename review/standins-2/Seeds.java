import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machines that the settings name as seeds are stopped in turn and leave the system. After
 * that, one of the others loses power for some seconds and starts again. Looks at which machines
 * give orders to the runners.
 */
final class Seeds {
    private static final long LEASE_MS = 3000;
    private static final long CONTACT_MS = 3000;
    private static final long DARK_MS = 3500;
    private static final long WATCHED_MS = 25_000;

    private record Order(long at, String runner, String holder, long token) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        Net net = new Net();
        List<Order> accepted = new ArrayList<>();
        List<Entry> entries = new ArrayList<>();
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            try {
                Store store = new Store(net.host(200));
                store.put(
                        "op/config",
                        Config.of(
                                7, 6, 4_194_304,
                                Config.route("chat", "idempotent", "llm", 4000, 800)));
                for (int i = 1; i <= 3; i++) {
                    new Runner(
                            "i-llm" + i, "llm", net.host(100 + i), "z1", 6, 30, 800, store, record,
                            (runner, holder, token, what) -> {
                                synchronized (accepted) {
                                    accepted.add(
                                            new Order(record.now(), runner, holder, token));
                                }
                            });
                }
                List<String> seeds = List.of(net.host(1), net.host(2), net.host(3));
                for (int i = 1; i <= 5; i++) {
                    Entry e =
                            new Entry(
                                    "edge-" + i, net.host(i), "z1", seeds, store.address(), folder,
                                    record);
                    entries.add(e);
                    e.start();
                }
                for (Entry e : entries) {
                    e.awaitReady(20_000);
                }
                Thread.sleep(6000);
                AtomicBoolean stop = new AtomicBoolean();
                AtomicInteger number = new AtomicInteger();
                for (Entry e : entries) {
                    for (int c = 0; c < 3; c++) {
                        Threads.start("client", () -> client(e, record, number, stop));
                    }
                }
                Thread.sleep(5000);
                if (trouble) {
                    for (int i = 0; i < 3; i++) {
                        entries.get(i).signal("TERM");
                        Thread.sleep(2000);
                    }
                    for (int i = 0; i < 3; i++) {
                        entries.get(i).awaitEnd(8000);
                    }
                    Thread.sleep(CONTACT_MS);
                    entries.get(4).kill();
                    Thread.sleep(DARK_MS);
                    entries.get(4).start();
                    entries.get(4).awaitReady(20_000);
                }
                // From here on no machine that runs is disturbed, and the store never is, so all of
                // them are in touch after contactMs.
                long from = record.now() + CONTACT_MS;
                record.say("orders are judged from %d ms", from);
                Thread.sleep(WATCHED_MS + CONTACT_MS);
                stop.set(true);
                status = judge(accepted, from, record);
            } catch (Exception e) {
                record.say("could not run: %s", e);
            } finally {
                entries.forEach(Entry::close);
                Folders.delete(folder);
            }
        }
        System.exit(status);
    }

    private static int judge(List<Order> accepted, long from, Record record) {
        int turns = 0;
        Map<String, Integer> byHolder = new java.util.TreeMap<>();
        Map<String, List<Order>> byRunner = new java.util.TreeMap<>();
        synchronized (accepted) {
            for (Order o : accepted) {
                if (o.at() >= from) {
                    byHolder.merge(o.holder(), 1, Integer::sum);
                    byRunner.computeIfAbsent(o.runner(), r -> new ArrayList<>()).add(o);
                }
            }
        }
        record.say("accepted orders by holder: %s", byHolder);
        for (List<Order> orders : byRunner.values()) {
            // Time of the last order of each holder, and whether it has given orders before.
            Map<String, Long> last = new HashMap<>();
            Order before = null;
            for (Order o : orders) {
                if (before != null && !before.holder().equals(o.holder())
                        && o.at() - before.at() < LEASE_MS) {
                    boolean back = last.containsKey(o.holder());
                    record.say(
                            "turn at %s: %s at %d token %d, then %s at %d token %d%s",
                            o.runner(), before.holder(), before.at(), before.token(), o.holder(),
                            o.at(), o.token(), back ? " (again)" : "");
                    turns += back ? 1 : 0;
                }
                last.put(o.holder(), o.at());
                before = o;
            }
        }
        record.say("holders that took turns within %d ms: %d times", LEASE_MS, turns);
        return turns > 0 ? 1 : 0;
    }

    private static void client(Entry entry, Record record, AtomicInteger number, AtomicBoolean stop)
            throws InterruptedException {
        while (!stop.get()) {
            try (Caller c = new Caller(entry.ip, record)) {
                while (!stop.get()) {
                    int n = number.incrementAndGet();
                    String adapter = "a" + ThreadLocalRandom.current().nextInt(1, 60);
                    Caller.Answer a =
                            c.call(
                                    "GET", "/chat/" + n, "q" + n,
                                    "Bronzehill-Model: m0/" + adapter + "\r\n"
                                            + "Bronzehill-Token-Usage: 100,20\r\n"
                                            + "Bronzehill-Prompt-Prefix: " + Integer.toHexString(n)
                                            + ":100\r\n",
                                    new byte[0], 4000);
                    Thread.sleep(200);
                    if (a.closes()) {
                        break;
                    }
                }
            } catch (java.io.IOException e) {
                Thread.sleep(300);
            }
        }
    }
}
