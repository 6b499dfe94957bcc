import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a runner, of a plain service or of an engine with adapters. It runs what it is sent
 * and echoes the identifier of the request, checks Bronzehill-Expect-Instance, and carries out
 * orders as the users' page on the protocol says: fencing tokens, "expect", places for adapters.
 */
final class Runner {
    /** Model that an engine holds. */
    static final String MODEL = "m0";

    private static final int LOAD_MS = 250;
    private static final int MODEL_LOAD_MS = 600;
    private static final int MAX_COMING = 4;

    /** Receives the orders that were accepted. */
    interface Orders {
        void onAccepted(String runner, String holder, long fencingToken, String what);
    }

    private final String id;
    private final String service;
    private final String zone;
    private final int adapterSlots;
    private final int workMs;
    private final int bodyBytes;
    private final Store store;
    private final Record record;
    private final Orders orders;
    private final java.net.InetSocketAddress address;
    private final Set<Socket> connections = new HashSet<>();
    private ServerSocket listener;
    private long born = System.currentTimeMillis();
    private String version = "v1";
    private boolean holdsModel;
    private long modelDueAt;
    private final Set<String> resident = new HashSet<>();
    private final Map<String, Long> coming = new TreeMap<>();
    private final Map<String, Integer> inUse = new TreeMap<>();
    private long seq;
    private long highestFencing;
    private int running;
    private int events;
    private String recorded = "";

    /**
     * @param adapterSlots places for adapters; 0 for a plain service
     * @param workMs time that a request takes
     */
    Runner(
            String id,
            String service,
            String host,
            String zone,
            int adapterSlots,
            int workMs,
            int bodyBytes,
            Store store,
            Record record,
            Orders orders)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.adapterSlots = adapterSlots;
        this.workMs = workMs;
        this.bodyBytes = bodyBytes;
        this.store = store;
        this.record = record;
        this.orders = orders;
        holdsModel = adapterSlots > 0;
        listener = new ServerSocket(0, 512, InetAddress.getByName(host));
        address = new java.net.InetSocketAddress(host, listener.getLocalPort());
        publish();
        ServerSocket first = listener;
        Threads.start(id, () -> accept(first));
        Threads.start(id + "-heartbeat", this::beat);
    }

    /** Makes the runner answer with streams of events, one each workMs. */
    Runner streaming(int numberOfEvents) {
        events = numberOfEvents;
        return this;
    }

    /** Sets the version of the runner's software, and writes it to the store. */
    Runner software(String name) {
        synchronized (this) {
            version = name;
        }
        publish();
        return this;
    }

    String address() {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Crashes, and starts again under the same identifier and address with another version of its
     * software. It then holds and knows nothing of before.
     */
    void restart(String newVersion, long downMs) throws IOException, InterruptedException {
        synchronized (this) {
            record.line("runner %s crashes", id);
            listener.close();
            for (Socket s : connections) {
                s.setSoLinger(true, 0);
                s.close();
            }
            connections.clear();
        }
        Thread.sleep(downMs);
        synchronized (this) {
            version = newVersion;
            born = System.currentTimeMillis();
            seq = 0;
            highestFencing = 0;
            holdsModel = false;
            modelDueAt = 0;
            resident.clear();
            coming.clear();
            inUse.clear();
            running = 0;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(address, 512);
            ServerSocket next = listener;
            Threads.start(id, () -> accept(next));
            record.line("runner %s is back with %s", id, version);
        }
        publish();
    }

    private void beat() throws InterruptedException {
        while (true) {
            Thread.sleep(1200);
            publish();
        }
    }

    /** Writes the record to the store if it has changed. */
    private synchronized void publish() {
        settle();
        if (listener.isClosed()) {
            return;
        }
        String now =
                """
                {"service":"%s","address":"%s","zone":"%s","version":"%s","slots":%d,
                 "state":"ready","coldLeftMs":0,"seq":%d,"born":%d%s}
                """
                        .formatted(
                                service, address(), zone, version, adapterSlots > 0 ? 64 : 6,
                                seq, born,
                                adapterSlots > 0
                                        ? ",\"stage\":\"mixed\",\"models\":" + models()
                                        : "");
        if (!now.equals(recorded) && store.put("servers/" + id, now)) {
            recorded = now;
        }
    }

    private String models() {
        if (!holdsModel) {
            return "[]";
        }
        List<String> names = new ArrayList<>();
        resident.forEach(a -> names.add("\"" + a + "@1\""));
        return "[{\"name\":\"%s\",\"version\":1,\"adapters\":[%s]}]"
                .formatted(MODEL, String.join(",", names));
    }

    private void accept(ServerSocket from) throws IOException {
        while (true) {
            Socket s = from.accept();
            synchronized (this) {
                connections.add(s);
            }
            Threads.start(id + "-connection", () -> serve(s));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (Socket s = socket) {
            s.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(s.getInputStream(), 1 << 16);
            OutputStream out = s.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                String expected = head.get("Bronzehill-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    out.write(
                            Http.answer(
                                    "421 Misdirected Request",
                                    "Bronzehill-Instance-Id: " + id + "\r\n",
                                    ""));
                } else if (head.second().equals("/v1/report")) {
                    out.write(report());
                } else if (head.second().equals("/v1/order")) {
                    out.write(order(new String(body, java.nio.charset.StandardCharsets.UTF_8)));
                } else {
                    run(head, body, out);
                }
                out.flush();
            }
        } finally {
            synchronized (this) {
                connections.remove(socket);
            }
        }
    }

    private synchronized byte[] report() {
        settle();
        List<String> loading = new ArrayList<>();
        coming.keySet().forEach(a -> loading.add("\"" + MODEL + "/" + a + "@1\""));
        return Http.answer(
                "200 OK",
                "Content-Type: application/json\r\n",
                """
                {"stage":"mixed","models":%s,"busy":false,"seq":%d,"queued":0,"running":%d,
                 "kvUsed":0,"kvTotal":150000,"handles":0,"coming":[%s],"born":%d}
                """
                        .formatted(
                                adapterSlots > 0 ? models() : "[]", seq, running,
                                String.join(",", loading), born));
    }

    /** Ends the loads whose time has passed. */
    private void settle() {
        long now = System.nanoTime();
        if (modelDueAt != 0 && modelDueAt - now <= 0) {
            modelDueAt = 0;
            holdsModel = true;
            record.line("runner %s holds the model", id);
        }
        for (String a : List.copyOf(coming.keySet())) {
            if (coming.get(a) - now <= 0) {
                coming.remove(a);
                resident.add(a);
            }
        }
    }

    private static String field(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    private synchronized byte[] order(String json) {
        settle();
        String holder = field(json, "holder");
        String token = field(json, "fencingToken");
        String adapter = field(json, "adapter");
        String operation = field(json, "operation");
        String expect = field(json, "expect");
        if (holder.isEmpty() || token.isEmpty()) {
            return Http.answer("400 Bad Request", "", "");
        }
        long fencing = Long.parseLong(token);
        if (fencing < highestFencing) {
            record.line("order at %s from %s token %s %s %s -> 412", id, holder, token, operation, adapter);
            return Http.answer("412 Precondition Failed", "", "");
        }
        highestFencing = fencing;
        boolean load = operation.equals("model_load");
        boolean holds =
                adapter.isEmpty()
                        ? load == holdsModel
                        : load
                                ? resident.contains(adapter)
                                : !resident.contains(adapter) && !coming.containsKey(adapter);
        String status;
        if (holds) {
            status = "200 OK";
        } else if (load && (coming.containsKey(adapter) || adapter.isEmpty() && modelDueAt != 0)) {
            status = "202 Accepted";
        } else if (!expect.isEmpty() && Long.parseLong(expect) != seq) {
            status = "409 Conflict";
        } else if (load && adapter.isEmpty()) {
            modelDueAt = System.nanoTime() + MODEL_LOAD_MS * 1_000_000L;
            seq++;
            status = "202 Accepted";
        } else if (!holdsModel || load && coming.size() >= MAX_COMING) {
            status = "409 Conflict";
        } else if (load) {
            if (resident.size() + coming.size() >= adapterSlots) {
                record.line("order at %s from %s loads more than it has places for", id, holder);
            }
            coming.put(adapter, System.nanoTime() + LOAD_MS * 1_000_000L);
            seq++;
            status = "202 Accepted";
        } else if (inUse.getOrDefault(adapter, 0) > 0) {
            status = "409 Conflict";
        } else {
            resident.remove(adapter);
            seq++;
            status = "200 OK";
        }
        record.line(
                "order at %s from %s token %s %s %s -> %s",
                id, holder, token, operation, adapter, status);
        if (!status.startsWith("409")) {
            orders.onAccepted(id, holder, fencing, operation + " " + adapter);
        }
        return Http.answer(status, "", "");
    }

    /** Writes the events after a number, each with the version of the software that writes it. */
    private void stream(int after, String common, String requestId, OutputStream out)
            throws IOException, InterruptedException {
        String by = version;
        out.write(
                Http.ascii(
                        "HTTP/1.1 200 OK\r\n" + common + "Bronzehill-Server-Signature: 1.2."
                                + requestId + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"));
        out.flush();
        for (int n = after + 1; n <= events; n++) {
            Thread.sleep(workMs);
            String event = "id: " + n + "\ndata: " + by + " " + id + "\n\n";
            out.write(Http.ascii(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
        }
        out.write(Http.ascii("0\r\n\r\n"));
    }

    private void run(Http.Head head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        String requestId = head.get("Bronzehill-Attempt-Id");
        String common =
                "Bronzehill-Attempt-Id: " + requestId + "\r\nBronzehill-Instance-Id: " + id + "\r\n";
        String model = head.get("Bronzehill-Model");
        String adapter = model.contains("/") ? model.substring(model.indexOf('/') + 1) : "";
        synchronized (this) {
            settle();
            if (!model.isEmpty() && !holdsModel
                    || !adapter.isEmpty() && !resident.contains(adapter)) {
                out.write(Http.answer("421 Misdirected Request", common, ""));
                return;
            }
            inUse.merge(adapter, 1, Integer::sum);
            running++;
        }
        String after = head.get("Last-Event-Id");
        record.line(
                "run at %s %s request %s with %d bytes%s",
                id, version, requestId, body.length, after.isEmpty() ? "" : " after event " + after);
        try {
            if (events > 0) {
                stream(after.isEmpty() ? 0 : Integer.parseInt(after), common, requestId, out);
                return;
            }
            Thread.sleep(workMs);
        } finally {
            synchronized (this) {
                inUse.merge(adapter, -1, Integer::sum);
                running--;
            }
        }
        String text = "done " + requestId + " ";
        out.write(
                Http.answer(
                        "200 OK",
                        common
                                + "Bronzehill-Server-Signature: 1.2." + requestId + "\r\n"
                                + "Content-Type: text/plain\r\n",
                        text + "x".repeat(Math.max(0, bodyBytes - text.length()))));
    }
}
