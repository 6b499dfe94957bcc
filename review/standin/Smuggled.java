package review;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client hides a request in the body of another one. The body has no length and its transfer
 * coding is not chunked, so its end can't be told. Without the disruption the same body is sent in
 * chunks.
 */
final class Smuggled {

    private static final int PAIRS = 20;
    private static final String[] CODINGS = {
        "identity", "gzip", "xchunked", "chunked, identity", "deflate"
    };

    private static String head(String method, String attempt) {
        return method + " /draw/x HTTP/1.1\r\nHost: site.example\r\nBronzehill-Attempt-Id: "
                + attempt + "\r\nBronzehill-Deadline-Ms: 4000\r\n";
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Entries entries = new Entries(Path.of(args[0], "record.txt"));
                Store store = new Store("127.0.0.1", 20_000)) {
            List<App> apps = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                App app = new App(entries, "i-app" + i, "ledger-app", 6, 24, 15);
                apps.add(app);
                store.put("servers/" + app.id, app.storeRecord("z" + i, false));
            }
            store.put(
                    "op/config",
                    "{\"version\":1,\"routes\":[{\"name\":\"r-draw\",\"host\":\"site.example\","
                            + "\"prefix\":\"/draw/\",\"kind\":\"non_idempotent\",\"timeoutMs\":4000,"
                            + "\"targetLatencyMs\":386,\"priority\":2,\"service\":\"ledger-app\","
                            + "\"maxAttempts\":1}],\"services\":[{\"name\":\"ledger-app\","
                            + "\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":16384,"
                            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                            + "\"idleTimeoutMs\":15000}}");
            List<Entries.Entry> edges = entries.startAll(2, store.address(), 2000);
            int carriersRun = 0;
            int smuggledRun = 0;
            int answered = 0;
            for (int i = 0; i < PAIRS; i++) {
                String carrier = Caller.newAttempt();
                String hidden = Caller.newAttempt();
                String body = head("GET", hidden) + "\r\n";
                String coding = CODINGS[i % CODINGS.length];
                String request =
                        head("POST", carrier)
                                + (trouble
                                        ? "Transfer-Encoding: " + coding + "\r\n\r\n" + body
                                        : "Transfer-Encoding: chunked\r\n\r\n"
                                                + Integer.toHexString(body.length()) + "\r\n"
                                                + body + "\r\n0\r\n\r\n");
                String answers = send(edges.get(i % 2).front(), request);
                boolean ran = hasRun(apps, carrier);
                boolean hiddenRan = hasRun(apps, hidden);
                carriersRun += ran ? 1 : 0;
                smuggledRun += hiddenRan ? 1 : 0;
                answered += answers.startsWith("HTTP/1.1 ") ? 1 : 0;
                entries.note(
                        "%s with %s in its body, coding %s: run %s, the one in its body run %s;"
                                + " answers: %s",
                        carrier, hidden, trouble ? coding : "chunked", ran, hiddenRan,
                        answers.replaceAll("\r\n", " | "));
            }
            entries.note(
                    "%d requests sent, %d run, %d answered; %d run that were sent only inside the"
                            + " body of another one",
                    PAIRS, carriersRun, answered, smuggledRun);
            exit = smuggledRun > 0 ? 1 : answered == PAIRS ? 0 : 2;
        }
        System.exit(exit);
    }

    private static boolean hasRun(List<App> apps, String attempt) {
        return apps.stream()
                .anyMatch(a -> a.runs.stream().anyMatch(r -> r.attempt().equals(attempt)));
    }

    /** Sends bytes and returns what comes back within half a second. */
    private static String send(String front, String request) throws IOException {
        StringBuilder got = new StringBuilder();
        try (Socket s = Http.connect(front, 0)) {
            s.setSoTimeout(500);
            s.getOutputStream().write(Http.bytes(request));
            byte[] piece = new byte[65536];
            int n;
            while ((n = s.getInputStream().read(piece)) > 0) {
                got.append(new String(piece, 0, n, StandardCharsets.UTF_8));
            }
        } catch (SocketTimeoutException e) {
            // No more answers.
        }
        return got.toString();
    }
}
