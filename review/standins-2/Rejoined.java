import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines lose power at the same moment and start again, while runners of two software
 * versions serve. Looks at how many of the streams that clients take up again go on.
 */
final class Rejoined {
    private static final int EVENTS = 240;
    private static final int EVENT_MS = 50;
    private static final int CLIENTS = 40;
    private static final int DEADLINE_MS = 15_000;
    private static final long DARK_MS = 1000;
    private static final long CONTACT_MS = 3000;

    /** Times from the break of a stream to the tries of its client. */
    private static final long[] TRIES_MS = {1000, 3000, 6000};

    private static final AtomicInteger taken = new AtomicInteger();
    private static final AtomicInteger goneOn = new AtomicInteger();
    private static final AtomicInteger begun = new AtomicInteger();
    private static final AtomicInteger opened = new AtomicInteger();
    private static volatile long inTouchFrom = Long.MAX_VALUE;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
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
                                Config.route("plan", "streaming", "llm", DEADLINE_MS, 1000)
                                        .replace("\"canResume\":false", "\"canResume\":true")));
                for (int i = 1; i <= 8; i++) {
                    new Runner(
                                    "i-llm" + i, "llm", net.host(100 + i), "z1", 29, EVENT_MS, 0,
                                    store, record, (a, b, c, d) -> {})
                            .streaming(EVENTS)
                            .software(i <= 4 ? "v1" : "v2");
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
                awaitReady(entries);
                Thread.sleep(8000);
                List<Thread> clients = new ArrayList<>();
                for (int c = 0; c < CLIENTS; c++) {
                    int number = c;
                    clients.add(
                            Threads.start("client", () -> client(entries, number, record)));
                }
                Thread.sleep(4000);
                if (trouble) {
                    for (Entry e : entries) {
                        e.kill();
                    }
                    Thread.sleep(DARK_MS);
                    for (Entry e : entries) {
                        e.start();
                    }
                    inTouchFrom = record.now() + CONTACT_MS;
                    awaitReady(entries);
                }
                record.say("all machines are in touch from %d ms", inTouchFrom);
                AtomicBoolean stop = new AtomicBoolean();
                Thread others = Threads.start("new", () -> newStreams(entries, record, stop));
                for (Thread t : clients) {
                    t.join();
                }
                stop.set(true);
                others.join();
                record.say(
                        "taken up at machines in touch: %d, of these gone on: %d; new streams"
                                + " meanwhile: %d, of these begun: %d",
                        taken.get(), goneOn.get(), opened.get(), begun.get());
                // "Of 12 or more streams ..., the share that goes on is under half of the share of
                // new streams that begin."
                status =
                        taken.get() >= 12
                                        && 2L * goneOn.get() * opened.get()
                                                < (long) begun.get() * taken.get()
                                ? 1
                                : 0;
            } catch (Exception e) {
                record.say("could not run: %s", e);
            } finally {
                entries.forEach(Entry::close);
                Folders.delete(folder);
            }
        }
        System.exit(status);
    }

    private static void awaitReady(List<Entry> entries) throws Exception {
        for (Entry e : entries) {
            e.awaitReady(20_000);
        }
    }

    /** Opens a stream, and takes it up a few times if it is broken off. */
    private static void client(List<Entry> entries, int number, Record record)
            throws InterruptedException {
        long begunAt = record.now();
        String id = "s" + number;
        Caller.Answer answer = send(entries.get(number % entries.size()), id, "", DEADLINE_MS, record);
        int last = lastEvent(answer.body());
        long brokenAt = record.now();
        for (int t = 0; t < TRIES_MS.length && !answer.isSuccess() && last > 0; t++) {
            Thread.sleep(Math.max(0, brokenAt + TRIES_MS[t] - record.now()));
            long sentAt = record.now();
            int left = (int) (begunAt + DEADLINE_MS - sentAt);
            if (left <= 0) {
                return;
            }
            answer =
                    send(
                            entries.get((number + t + 1) % entries.size()), id + "-try" + (t + 1),
                            "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n", left, record);
            if (sentAt >= inTouchFrom) {
                taken.incrementAndGet();
                goneOn.addAndGet(answer.body().startsWith("id: ") ? 1 : 0);
            }
        }
    }

    private static void newStreams(List<Entry> entries, Record record, AtomicBoolean stop)
            throws InterruptedException {
        for (int n = 0; !stop.get(); n++) {
            Entry entry = entries.get(n % entries.size());
            String id = "n" + n;
            if (record.now() >= inTouchFrom) {
                Threads.start(
                        "new",
                        () -> {
                            opened.incrementAndGet();
                            Caller.Answer a = send(entry, id, "", 2000, record);
                            begun.addAndGet(a.body().startsWith("id: ") ? 1 : 0);
                        });
            }
            Thread.sleep(100);
        }
        Thread.sleep(2500);
    }

    private static Caller.Answer send(
            Entry entry, String id, String headers, int deadlineMs, Record record) {
        try (Caller c = new Caller(entry.ip, record)) {
            return c.call(
                    "POST", "/plan/s", id,
                    "Bronzehill-Model: m0\r\nBronzehill-Token-Usage: 826,240\r\n"
                            + "Bronzehill-Prompt-Prefix: aa:198,"
                            + Integer.toHexString(id.hashCode()) + ":628\r\n" + headers,
                    ("prompt " + id).getBytes(StandardCharsets.UTF_8), deadlineMs);
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
