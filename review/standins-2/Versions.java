import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down for some seconds. Meanwhile two of eight runners crash and come back under
 * their identifiers with another version of their software, and later two others. Looks for
 * streams that hold events of two versions.
 */
final class Versions {
    private static final int EVENTS = 60;
    private static final int EVENT_MS = 50;
    private static final long STORE_DOWN_MS = 8000;
    private static final long DOWN_MS = 2000;
    private static final int CLIENTS = 36;

    private static final AtomicInteger streams = new AtomicInteger();
    private static final AtomicInteger complete = new AtomicInteger();
    private static final AtomicInteger resumed = new AtomicInteger();
    private static final AtomicInteger joined = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean storeDown = !"up".equals(System.getenv("STORE"));
        Path folder = Files.createTempDirectory("case");
        Net net = new Net();
        List<Entry> entries = new ArrayList<>();
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            try {
                Store store = new Store(net.host(200));
                store.put(
                        "op/config",
                        Config.of(
                                7, 29, 4_194_304,
                                Config.route("chat", "streaming", "llm", 12_000, 500)
                                        .replace("\"canResume\":false", "\"canResume\":true")));
                List<Runner> runners = new ArrayList<>();
                for (int i = 1; i <= 8; i++) {
                    runners.add(
                            new Runner(
                                            "i-llm" + i, "llm", net.host(100 + i), "z1", 29,
                                            EVENT_MS, 0, store, record, (a, b, c, d) -> {})
                                    .streaming(EVENTS));
                }
                List<String> seeds = List.of(net.host(1), net.host(2), net.host(3));
                for (int i = 1; i <= 6; i++) {
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
                List<Thread> clients = new ArrayList<>();
                for (int e = 0; e < entries.size(); e++) {
                    int home = e;
                    for (int c = 0; c < CLIENTS; c++) {
                        clients.add(
                                Threads.start("client", () -> client(entries, home, record, stop)));
                    }
                }
                Thread.sleep(5000);
                if (trouble) {
                    store.setDown(storeDown);
                    record.say("the store is %s", storeDown ? "down" : "up");
                    long upAt = record.now() + STORE_DOWN_MS;
                    Thread.sleep(200);
                    restart(runners.subList(0, 2));
                    Thread.sleep(4800);
                    restart(runners.subList(2, 4));
                    Thread.sleep(Math.max(0, upAt - record.now()));
                    store.setDown(false);
                    record.say("the store is back");
                } else {
                    Thread.sleep(STORE_DOWN_MS);
                }
                Thread.sleep(6000);
                stop.set(true);
                for (Thread t : clients) {
                    t.join();
                }
                record.say(
                        "%d streams, %d complete, %d taken up by their clients, %d with events of two"
                                + " versions",
                        streams.get(), complete.get(), resumed.get(), joined.get());
                status = joined.get() > 2 ? 1 : 0;
            } catch (Exception e) {
                record.say("could not run: %s", e);
            } finally {
                entries.forEach(Entry::close);
                Folders.delete(folder);
            }
        }
        System.exit(status);
    }

    /** Two of eight runners crash at once, and are back after two seconds. */
    private static void restart(List<Runner> runners) throws InterruptedException {
        List<Thread> restarts = new ArrayList<>();
        for (Runner r : runners) {
            restarts.add(Threads.start("restart", () -> r.restart("v2", DOWN_MS)));
        }
        for (Thread t : restarts) {
            t.join();
        }
    }

    /** Sends streams, and takes up once, at another machine, one that is broken off. */
    private static void client(List<Entry> entries, int home, Record record, AtomicBoolean stop)
            throws InterruptedException {
        Thread.sleep(ThreadLocalRandom.current().nextInt(3000));
        while (!stop.get()) {
            String id = "s" + streams.incrementAndGet();
            Caller.Answer first = send(entries.get(home), id, "", record);
            String seen = first.body();
            boolean ended = first.isSuccess();
            int last = lastEvent(seen);
            if (!ended && last > 0) {
                Entry other = entries.get((home + 1) % entries.size());
                Caller.Answer second =
                        send(
                                other, id + "-again",
                                "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n", record);
                resumed.incrementAndGet();
                seen += second.body();
                ended = second.isSuccess();
            }
            boolean both = seen.contains("data: v1") && seen.contains("data: v2");
            complete.addAndGet(ended ? 1 : 0);
            joined.addAndGet(both ? 1 : 0);
            if (both) {
                record.line("stream %s holds events of v1 and v2", id);
            }
            Thread.sleep(ThreadLocalRandom.current().nextInt(300));
        }
    }

    private static Caller.Answer send(Entry entry, String id, String headers, Record record) {
        try (Caller c = new Caller(entry.ip, record)) {
            return c.call(
                    "POST", "/chat/s", id,
                    "Bronzehill-Model: m0\r\nBronzehill-Token-Usage: 826,60\r\n"
                            + "Bronzehill-Prompt-Prefix: aa:198," + Integer.toHexString(id.hashCode())
                            + ":628\r\n" + headers,
                    ("prompt " + id).getBytes(StandardCharsets.UTF_8), 12_000);
        } catch (IOException e) {
            return new Caller.Answer(0, "", e.toString(), true);
        }
    }

    /** Returns the number of the last complete event; 0 if there is none. */
    private static int lastEvent(String events) {
        int end = events.lastIndexOf("\n\n");
        int from = end < 0 ? -1 : events.lastIndexOf("id: ", end);
        return from < 0
                ? 0
                : Integer.parseInt(events.substring(from + 4, events.indexOf('\n', from)));
    }
}
