package org.bronzehill.standin.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests that a closed server is down for callers that have a connection to it. */
public class HttpServerCloseTest {

    private static final int ROUNDS = 200;

    private static final byte[] REQUEST =
            "GET /x HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8);

    /** Guards against requests that a server answers after its close has returned. */
    @Test
    public void requestAfterTheCloseIsNotAnswered() throws Exception {
        int answered = 0;
        for (int i = 0; i < ROUNDS; i++) {
            HttpServer server = HttpServer.start("127.0.0.1", 0, e -> e.error(404, "unknown"));
            try (Socket s = new Socket("127.0.0.1", server.port())) {
                s.getOutputStream().write(REQUEST);
                InputStream in = s.getInputStream();
                assertTrue(in.read() >= 0);
                in.skipNBytes(in.available());
                server.close();
                answered += isAnswered(s) ? 1 : 0;
            } finally {
                server.close();
            }
        }
        assertEquals(answered, 0);
    }

    private static boolean isAnswered(Socket s) {
        try {
            s.getOutputStream().write(REQUEST);
            return s.getInputStream().read() >= 0;
        } catch (IOException e) {
            return false;
        }
    }
}
