package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three runners crashes once while clients ask for the same path, and is back soon. */
final class CrashMarks {

    private static final int CLIENTS = 16;
    private static final long PERIOD_MS = 1000;
    private static final long DOWN_MS = 1500;
    private static final int SECONDS = 30;

    /** Time after the runner's return from which the state counts as steady. */
    private static final long STEADY_AFTER_MS = 4000;

    /** Runner that can crash: its connections are reset, and its port is closed for a time. */
    private static final class Runner {
        private final String id;
        private final AtomicInteger running = new AtomicInteger();
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private long born = System.currentTimeMillis();
        private ServerSocket listener;
        private int port;

        private Runner(String id) throws IOException {
            this.id = id;
            open();
        }

        private void open() throws IOException {
            ServerSocket l = new ServerSocket();
            l.setReuseAddress(true);
            l.bind(new InetSocketAddress("127.0.0.1", port), 256);
            listener = l;
            port = l.getLocalPort();
            Http.thread(
                    "accept",
                    () -> {
                        while (true) {
                            Socket s = l.accept();
                            sockets.add(s);
                            Http.thread("serve", () -> serve(s));
                        }
                    });
        }

        private void serve(Socket s) throws Exception {
            try (s) {
                Http.Connection c = new Http.Connection(s);
                while (true) {
                    Http.Message m = Http.read(c.in, true);
                    if (m == null) {
                        return;
                    }
                    running.incrementAndGet();
                    try {
                        Thread.sleep(21);
                        c.out.write(
                                Http.answer(
                                        200,
                                        "Bronzehill-Attempt-Id: "
                                                + m.header("Bronzehill-Attempt-Id")
                                                + "\r\nBronzehill-Server-Signature: sig-" + id
                                                + "\r\n",
                                        Http.bytes("status")));
                    } finally {
                        running.decrementAndGet();
                    }
                }
            }
        }

        private void crash() throws IOException {
            listener.close();
            for (Socket s : sockets) {
                try {
                    s.setSoLinger(true, 0);
                    s.close();
                } catch (IOException e) {
                    // The other end has closed it.
                }
            }
            sockets.clear();
        }

        private void comeBack() throws IOException {
            born = System.currentTimeMillis();
            open();
        }

        private String storeRecord() {
            return "{\"service\":\"rounds-app\",\"address\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                    + "\"coldLeftMs\":0,\"models\":[],\"seq\":0,\"born\":" + born + "}";
        }
    }

    private static String route(String name) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"site.example\",\"prefix\":\"/" + name
                + "/\",\"kind\":\"idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":121,"
                + "\"priority\":2,\"service\":\"rounds-app\",\"maxAttempts\":2}";
    }

    private static String config(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"rounds-app\",\"maxConns\":110}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Entries entries = new Entries(Path.of(args[0], "record.txt"));
                Store store = new Store("127.0.0.1", 20_000)) {
            List<Runner> runners = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Runner r = new Runner("i-app" + i);
                runners.add(r);
                store.put("servers/" + r.id, r.storeRecord());
            }
            store.put("op/config", config(1, route("first")));
            List<Entries.Entry> edges = entries.startAll(2, store.address(), 2000);
            store.put("op/config", config(2, route("first") + "," + route("added")));
            entries.note("version 2 adds a route");
            Thread.sleep(3000);
            double until = entries.seconds() + SECONDS;
            AtomicBoolean steady = new AtomicBoolean();
            Map<String, Integer> counts = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String front = edges.get(i % edges.size()).front();
                String edge = edges.get(i % edges.size()).name;
                clients.add(
                        Http.thread(
                                "client",
                                () -> {
                                    try (Caller c = new Caller(front)) {
                                        while (entries.seconds() < until) {
                                            long now = System.currentTimeMillis();
                                            Thread.sleep(PERIOD_MS - now % PERIOD_MS);
                                            for (String path :
                                                    List.of(
                                                            "/added/status",
                                                            "/first/" + Caller.newAttempt())) {
                                                String attempt = Caller.newAttempt();
                                                boolean counted = steady.get();
                                                Http.Message a =
                                                        c.call(
                                                                "GET", path, attempt, 600,
                                                                new byte[0]);
                                                int status = a == null ? 0 : a.status();
                                                entries.note(
                                                        "%s %s GET %s: %d%s", edge, attempt, path,
                                                        status,
                                                        status >= 400
                                                                ? " " + new String(a.body).trim()
                                                                : "");
                                                if (counted) {
                                                    counts.merge(
                                                            path.substring(1, 6)
                                                                    + (status == 200
                                                                            ? " served"
                                                                            : " not served"),
                                                            1,
                                                            Integer::sum);
                                                }
                                            }
                                        }
                                    }
                                }));
            }
            Thread.sleep(3000);
            Runner crashing = runners.get(0);
            if (trouble) {
                long giveUp = System.currentTimeMillis() + 8000;
                while (crashing.running.get() < 4 && System.currentTimeMillis() < giveUp) {
                    Thread.sleep(1);
                }
                entries.note("%s crashes; it runs %d", crashing.id, crashing.running.get());
                crashing.crash();
                Thread.sleep(DOWN_MS);
                crashing.comeBack();
                store.put("servers/" + crashing.id, crashing.storeRecord());
                entries.note("%s is back", crashing.id);
            }
            Thread.sleep(STEADY_AFTER_MS);
            steady.set(true);
            entries.note("steady state begins");
            for (Thread t : clients) {
                t.join();
            }
            int added = counts.getOrDefault("added served", 0);
            int addedNot = counts.getOrDefault("added not served", 0);
            int first = counts.getOrDefault("first served", 0);
            int firstNot = counts.getOrDefault("first not served", 0);
            entries.note("in steady state: %s", new TreeMap<>(counts));
            double addedShare = (double) added / Math.max(1, added + addedNot);
            double firstShare = (double) first / Math.max(1, first + firstNot);
            exit =
                    added + addedNot < 20 || first == 0
                            ? 2
                            : addedShare < firstShare / 4 ? 1 : 0;
        }
        System.exit(exit);
    }
}
