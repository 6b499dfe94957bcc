package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.UUID;

/** Client with one connection, which it opens again after a failure or "Connection: close". */
final class Caller implements AutoCloseable {

    private static final int PIECE = 16 << 10;

    /** Bandwidth of the client's link. */
    double bytesPerSecond = 125e6;

    private final String front;
    private Socket socket;
    private BufferedInputStream in;

    Caller(String front) {
        this.front = front;
    }

    static String newAttempt() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends a request and reads its answer; null if the connection ends without one. */
    Http.Message call(String method, String path, String attempt, int deadlineMs, byte[] body) {
        try {
            if (socket == null) {
                socket = Http.connect(front, 0);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(deadlineMs + 1000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\n"
                    + "Bronzehill-Attempt-Id: " + attempt + "\r\nBronzehill-Deadline-Ms: "
                    + deadlineMs + "\r\n"
                    + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            socket.getOutputStream().write(Http.bytes(head));
            writePaced(body);
            Http.Message answer = Http.read(in, false);
            if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return answer;
        } catch (IOException e) {
            close();
            return null;
        }
    }

    /** Writes a body as fast as the client's link allows. */
    private void writePaced(byte[] body) throws IOException {
        long begin = System.nanoTime();
        for (int from = 0; from < body.length; from += PIECE) {
            socket.getOutputStream().write(body, from, Math.min(PIECE, body.length - from));
            long due = begin + (long) ((from + PIECE) * 1e9 / bytesPerSecond);
            long wait = (due - System.nanoTime()) / 1_000_000;
            if (wait > 0 && from + PIECE < body.length) {
                try {
                    Thread.sleep(wait);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is not used any more.
            }
            socket = null;
        }
    }
}
