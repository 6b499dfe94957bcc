import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Connection of a client, which is kept for several requests. */
final class Caller implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;
    private final Record record;
    private int bytesPerSecond;

    /**
     * Answer to a request.
     *
     * @param status 0 if the connection ended without a complete answer
     * @param body what has been read, also if the answer is not complete
     */
    record Answer(int status, String body, String problem, boolean closes) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    Caller(String ip, Record record) throws IOException {
        this.record = record;
        socket.connect(new InetSocketAddress(ip, Entry.FRONT), 1000);
        socket.setTcpNoDelay(true);
        in = new java.io.BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sets the pace at which bodies are sent; 0 for no limit. */
    void pace(int bytes) {
        bytesPerSecond = bytes;
    }

    private void send(byte[] body) throws IOException {
        int part = bytesPerSecond == 0 ? Math.max(1, body.length) : bytesPerSecond / 50;
        for (int from = 0; from < body.length; from += part) {
            out.write(body, from, Math.min(part, body.length - from));
            if (bytesPerSecond > 0) {
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
        out.flush();
    }

    /** Sends a request and reads its answer. */
    Answer call(
            String method, String path, String id, String headers, byte[] body, int deadlineMs) {
        record.line("client sends %s %s %s with %d bytes", id, method, path, body.length);
        Answer answer;
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            socket.setSoTimeout(deadlineMs);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n"
                            + "Bronzehill-Attempt-Id: " + id + "\r\n"
                            + "Bronzehill-Deadline-Ms: " + deadlineMs + "\r\n" + headers
                            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "")
                            + "\r\n";
            out.write(Http.ascii(head));
            send(body);
            Http.Head answered = Http.readHead(in);
            if (answered == null) {
                answer = new Answer(0, "", "closed", true);
            } else {
                Http.readBody(in, answered, read);
                answer =
                        new Answer(
                                Integer.parseInt(answered.second()),
                                read.toString(StandardCharsets.UTF_8),
                                "",
                                answered.get("connection").equalsIgnoreCase("close"));
            }
        } catch (java.net.SocketTimeoutException e) {
            String text = read.toString(StandardCharsets.UTF_8);
            answer = new Answer(0, text, "no answer within the deadline", true);
        } catch (IOException e) {
            answer = new Answer(0, read.toString(StandardCharsets.UTF_8), e.toString(), true);
        }
        record.line(
                "client of %s gets %d %s",
                id,
                answer.status(),
                answer.status() == 0
                        ? answer.problem()
                        : answer.body().substring(0, Math.min(60, answer.body().length())).trim());
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
