import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** Head of a message: its first line and its headers, with names in lower case. */
    record Head(String line, Map<String, String> headers) {
        String get(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns the second word of the first line: a path, or a status. */
        String second() {
            return line.split(" ", 3)[1];
        }
    }

    /** Reads a head; null if the connection has ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = readLine(in, false); !l.isEmpty(); l = readLine(in, false)) {
            int colon = l.indexOf(':');
            headers.put(
                    l.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    l.substring(colon + 1).trim());
        }
        return new Head(first, headers);
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("ended inside a head");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body with a length or in chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        readBody(in, head, body);
        return body.toByteArray();
    }

    /** Reads a body; if it is broken off, what has been read before stands in the given place. */
    static void readBody(InputStream in, Head head, ByteArrayOutputStream body)
            throws IOException {
        if (head.get("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                body.writeBytes(readExactly(in, size));
                readLine(in, false);
                if (size == 0) {
                    return;
                }
            }
        }
        String length = head.get("content-length");
        if (!length.isEmpty()) {
            body.writeBytes(readExactly(in, Integer.parseInt(length)));
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("ended inside a body");
        }
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] answer(String status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(
                ascii(
                        "HTTP/1.1 " + status + "\r\n" + headers
                                + "Content-Length: " + bytes.length + "\r\n\r\n"));
        out.writeBytes(bytes);
        return out.toByteArray();
    }
}
