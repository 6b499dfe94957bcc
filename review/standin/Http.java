package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Plain HTTP/1.1 over blocking sockets, as far as the stand-ins need it. */
final class Http {

    private Http() {}

    /** Request or answer. The names of headers are in lower case. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** One connection that a server has accepted. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        /** Bytes to write when the next request on this connection has been read. */
        byte[] dueBeforeNextAnswer;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            this.out = socket.getOutputStream();
        }
    }

    interface Handler {
        /** Answers a request; returns whether the connection is kept. */
        boolean handle(Message request, Connection connection) throws Exception;
    }

    /** Accepts connections until it is closed. */
    static final class Server implements AutoCloseable {
        final ServerSocket listener;

        Server(String ip, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(ip, 0), 256);
            thread(
                    "accept",
                    () -> {
                        while (true) {
                            Socket s = listener.accept();
                            thread("serve", () -> serve(s, handler));
                        }
                    });
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private static void serve(Socket s, Handler handler) throws Exception {
            try (s) {
                s.setTcpNoDelay(true);
                Connection c = new Connection(s);
                while (true) {
                    Message request = read(c.in, true);
                    if (request == null || !handler.handle(request, c)) {
                        return;
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** Starts a daemon thread. It ends silently when its socket is closed. */
    static Thread thread(String name, Task task) {
        Thread t =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // The other end has closed the connection, or the script ends.
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        },
                        name,
                        256 << 10);
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** Reads a request or an answer; null if the connection ended before its first byte. */
    static Message read(InputStream in, boolean request) throws IOException {
        Message m = new Message();
        String line = line(in);
        if (line == null) {
            return null;
        }
        m.startLine = line;
        while (true) {
            line = line(in);
            if (line == null) {
                throw new EOFException("inside the headers");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            m.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (m.header("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String sizeLine = line(in);
                if (sizeLine == null) {
                    throw new EOFException("between two chunks");
                }
                int size = Integer.parseInt(sizeLine.trim(), 16);
                all.write(exactly(in, size));
                line(in);
                if (size == 0) {
                    break;
                }
            }
            m.body = all.toByteArray();
        } else if (!m.header("content-length").isEmpty()) {
            m.body = exactly(in, Integer.parseInt(m.header("content-length")));
        }
        return m;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("after " + bytes.length + " of " + size + " bytes of the body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() > 0) {
                    throw new EOFException("inside a line");
                }
                return null;
            }
            if (b == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a complete answer with a length. */
    static byte[] answer(int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(
                bytes(
                        "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: "
                                + body.length + "\r\n\r\n"));
        all.write(body);
        return all.toByteArray();
    }

    static Socket connect(String address, int receiveBuffer) throws IOException {
        Socket s = new Socket();
        if (receiveBuffer > 0) {
            s.setReceiveBufferSize(receiveBuffer);
        }
        int colon = address.lastIndexOf(':');
        s.connect(
                new InetSocketAddress(
                        InetAddress.getByName(address.substring(0, colon)),
                        Integer.parseInt(address.substring(colon + 1))),
                1000);
        s.setTcpNoDelay(true);
        return s;
    }
}
