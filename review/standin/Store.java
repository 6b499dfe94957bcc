package review;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: kv-range, kv-watch and kv-key, one revision counter, and a
 * bounded history of changes.
 */
final class Store implements AutoCloseable {

    /** Largest size of a page in bytes of its values, and its largest number of items. */
    private static final int PAGE_BYTES = 1 << 20;

    private static final int PAGE_ITEMS = 500;

    private record Change(long revision, long atMs, String json) {}

    private final Http.Server server;
    private final long historyMs;
    private final Map<String, String> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 10;
    private long lostBefore = 10;

    Store(String ip, long historyMs) throws Exception {
        this.historyMs = historyMs;
        this.server = new Http.Server(ip, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes an item; the return is the acknowledgement. */
    synchronized long put(String key, String value) {
        revision++;
        String json =
                "{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(Http.bytes(value))
                        + "\",\"revision\":" + revision + ",\"created\":" + revision
                        + ",\"lease\":0}";
        items.put(key, json);
        remember(json);
        return revision;
    }

    synchronized void delete(String key) {
        revision++;
        items.remove(key);
        remember("{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"tombstone\":true}");
    }

    private void remember(String json) {
        history.add(new Change(revision, System.currentTimeMillis(), json));
        forget();
        notifyAll();
    }

    private void forget() {
        long oldest = System.currentTimeMillis() - historyMs;
        while (!history.isEmpty() && history.get(0).atMs() < oldest) {
            lostBefore = history.remove(0).revision();
        }
    }

    private boolean handle(Http.Message request, Http.Connection c) throws Exception {
        String[] parts = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                int eq = pair.indexOf('=');
                query.put(
                        pair.substring(0, eq),
                        URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        byte[] out =
                switch (parts[0]) {
                    case "/v1/kv-range" -> range(query);
                    case "/v1/kv-watch" -> watch(query);
                    case "/v1/kv-key" -> item(query);
                    default -> json(404, "{}");
                };
        c.out.write(out);
        return true;
    }

    private static byte[] json(int status, String body) throws Exception {
        return Http.answer(status, "Content-Type: application/json\r\n", Http.bytes(body));
    }

    private synchronized byte[] item(Map<String, String> query) throws Exception {
        String json = items.get(query.get("key"));
        return json == null
                ? json(404, "{\"storeRevision\":" + revision + "}")
                : json(
                        200,
                        json.substring(0, json.length() - 1) + ",\"storeRevision\":" + revision
                                + "}");
    }

    private synchronized byte[] range(Map<String, String> query) throws Exception {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder page = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<String, String> e : items.entrySet()) {
            if (!e.getKey().startsWith(prefix) || e.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (count == PAGE_ITEMS
                    || (count > 0 && page.length() + e.getValue().length() > PAGE_BYTES)) {
                truncated = true;
                break;
            }
            page.append(count++ == 0 ? "" : ",").append(e.getValue());
        }
        return json(
                200,
                "{\"items\":[" + page + "],\"truncated\":" + truncated + ",\"storeRevision\":"
                        + revision + "}");
    }

    private synchronized byte[] watch(Map<String, String> query) throws Exception {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        while (true) {
            forget();
            if (after < lostBefore) {
                return json(410, "{\"storeRevision\":" + revision + "}");
            }
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (change.revision() > after && change.json().startsWith(
                        "{\"key\":\"" + prefix)) {
                    events.append(events.length() == 0 ? "" : ",").append(change.json());
                }
            }
            long left = until - System.currentTimeMillis();
            if (events.length() > 0 || left <= 0) {
                return json(
                        200, "{\"events\":[" + events + "],\"storeRevision\":" + revision + "}");
            }
            wait(left);
        }
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
