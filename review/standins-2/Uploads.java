import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one machine send bodies close to the limit of the configuration, each at the pace of
 * a slow link. Looks at the answers that the other clients of the machine get.
 */
final class Uploads {
    private static final int MAX_BODY = 4_194_304;
    private static final int LARGE_BODY = 4_000_000;
    private static final int SMALL_BODY = 600;
    private static final int UPLOADERS = 60;
    private static final int BYTES_PER_SECOND = 2_000_000;
    private static final int OTHERS = 24;
    private static final int TIMEOUT_MS = 600;
    private static final int DEADLINE_MS = 4000;
    private static final int GRACE_MS = 500;

    /** What became of the requests of the other clients. */
    private static final AtomicInteger sent = new AtomicInteger();

    private static final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private static final AtomicInteger unansweredAfterGrace = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int bodyBytes = trouble ? LARGE_BODY : SMALL_BODY;
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
                                7, 29, MAX_BODY,
                                Config.route("draw", "non_idempotent", "app", TIMEOUT_MS, 386),
                                Config.route("batch", "non_idempotent", "app", 15_000, 1000)));
                for (int i = 1; i <= 4; i++) {
                    new Runner(
                            "i-app" + i, "app", net.host(100 + i), "z1", 0, 86, 800, store, record,
                            null);
                }
                List<String> seeds = List.of(net.host(1), net.host(2), net.host(3));
                for (int i = 1; i <= 3; i++) {
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
                Thread.sleep(5000);
                status = play(entries.get(0), bodyBytes, record);
            } catch (Exception e) {
                record.say("could not run: %s", e);
            } finally {
                entries.forEach(Entry::close);
                Folders.delete(folder);
            }
        }
        System.exit(status);
    }

    private static int play(Entry entry, int bodyBytes, Record record) throws Exception {
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> others = new ArrayList<>();
        for (int c = 0; c < OTHERS; c++) {
            int client = c;
            others.add(Threads.start("client", () -> sendSmall(entry, client, record, stop)));
        }
        Thread.sleep(3000);
        record.say("%d clients send %d bytes each", UPLOADERS, bodyBytes);
        byte[] body = new byte[bodyBytes];
        List<Thread> uploads = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        for (int u = 0; u < UPLOADERS; u++) {
            int client = u;
            uploads.add(
                    Threads.start(
                            "upload",
                            () -> upload(entry, client, body, record, served)));
            Thread.sleep(50);
        }
        for (Thread t : uploads) {
            t.join();
        }
        Thread.sleep(5000);
        stop.set(true);
        for (Thread t : others) {
            t.join();
        }
        int late = unansweredAtTimeout.get();
        int veryLate = unansweredAfterGrace.get();
        record.say(
                "served %d of %d uploads; process alive: %s",
                served.get(), UPLOADERS, entry.isAlive());
        record.say(
                "other clients: %d requests, %d without an answer at the route's timeout of %d ms,"
                        + " %d of these without one %d ms later",
                sent.get(), late, TIMEOUT_MS, veryLate, GRACE_MS);
        // "Of the requests that are still unanswered at their route's timeoutMs, more than half
        // have no answer half a second later"; counted from eight on.
        return veryLate >= 8 && 2 * veryLate > late ? 1 : 0;
    }

    private static void upload(
            Entry entry, int client, byte[] body, Record record, AtomicInteger served)
            throws IOException {
        try (Caller c = new Caller(entry.ip, record)) {
            c.pace(BYTES_PER_SECOND);
            // The deadline begins with the request, so it allows for the time of the transfer.
            Caller.Answer a = c.call("POST", "/batch/large", "large-" + client, "", body, 15_000);
            served.addAndGet(a.isSuccess() ? 1 : 0);
        }
    }

    private static void sendSmall(Entry entry, int client, Record record, AtomicBoolean stop)
            throws InterruptedException {
        for (int n = 0; !stop.get(); ) {
            try (Caller c = new Caller(entry.ip, record)) {
                while (!stop.get()) {
                    sent.incrementAndGet();
                    String id = "small-" + client + "-" + n++;
                    long begun = record.now();
                    Caller.Answer a =
                            c.call(
                                    "POST", "/draw/small", id, "", new byte[SMALL_BODY],
                                    DEADLINE_MS);
                    long took = record.now() - begun;
                    unansweredAtTimeout.addAndGet(took > TIMEOUT_MS ? 1 : 0);
                    unansweredAfterGrace.addAndGet(took > TIMEOUT_MS + GRACE_MS ? 1 : 0);
                    if (a.closes()) {
                        break;
                    }
                    Thread.sleep(300);
                }
            } catch (IOException e) {
                record.line("client %d cannot connect: %s", client, e);
                Thread.sleep(300);
            }
        }
    }
}
