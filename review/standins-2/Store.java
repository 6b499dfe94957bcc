import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: items, pages and watches. It keeps its whole history. */
final class Store implements AutoCloseable {
    private record Item(String key, byte[] value, long revision, long created) {
        String json() {
            if (value == null) {
                return "{\"key\":\"%s\",\"revision\":%d,\"tombstone\":true}"
                        .formatted(key, revision);
            }
            return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
                    .formatted(
                            key, Base64.getEncoder().encodeToString(value), revision, created);
        }
    }

    /** Stands for the reset of a call. */
    private static final byte[] RESET = {};

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final ServerSocket listener;
    private long revision = 100;
    private boolean down;

    Store(String host) throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName(host));
        Threads.start("store", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Makes the store unavailable: every call is reset, and waiting watches too. */
    synchronized void setDown(boolean isDown) {
        down = isDown;
        notifyAll();
    }

    /** Writes an item; returns false while the store is down. */
    synchronized boolean put(String key, String value) {
        if (down) {
            return false;
        }
        Item old = items.get(key);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        revision++;
        Item item = new Item(key, bytes, revision, old == null ? revision : old.created());
        items.put(key, item);
        history.add(item);
        notifyAll();
        return true;
    }

    synchronized void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Item(key, null, revision, 0));
            notifyAll();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket s = listener.accept();
            Threads.start("store-call", () -> serve(s));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (Socket s = socket) {
            s.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.readBody(in, head);
                byte[] answer = answer(head.second());
                if (answer == RESET) {
                    s.setSoLinger(true, 0);
                    return;
                }
                out.write(answer);
                out.flush();
            }
        }
    }

    private byte[] answer(String target) {
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        String prefix = query.getOrDefault("prefix", "");
        return switch (target.substring(0, mark)) {
            case "/v1/kv-range" -> range(prefix, query.getOrDefault("after", ""));
            case "/v1/kv-watch" ->
                    watch(
                            prefix,
                            Long.parseLong(query.get("after")),
                            Long.parseLong(query.get("waitMs")));
            default -> Http.answer("404 Not Found", "", "");
        };
    }

    private synchronized byte[] range(String prefix, String after) {
        if (down) {
            return RESET;
        }
        List<String> found = new ArrayList<>();
        items.tailMap(after, after.isEmpty()).values().stream()
                .filter(i -> i.key().startsWith(prefix))
                .forEach(i -> found.add(i.json()));
        return json(
                "{\"items\":[%s],\"truncated\":false,\"storeRevision\":%d}"
                        .formatted(String.join(",", found), revision));
    }

    private synchronized byte[] watch(String prefix, long after, long waitMs) {
        long until = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            if (down) {
                return RESET;
            }
            List<String> found = new ArrayList<>();
            for (Item i : history) {
                if (i.revision() > after && i.key().startsWith(prefix)) {
                    found.add(i.json());
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return json(
                        "{\"events\":[%s],\"storeRevision\":%d}"
                                .formatted(String.join(",", found), revision));
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static byte[] json(String body) {
        return Http.answer("200 OK", "Content-Type: application/json\r\n", body);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
