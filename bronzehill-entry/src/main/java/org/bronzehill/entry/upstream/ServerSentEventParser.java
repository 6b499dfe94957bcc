package org.bronzehill.entry.upstream;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Incremental parser of server-sent events; passes on the data of each event. */
final class ServerSentEventParser {

    /**
     * An event carries only a few tokens; the limit bounds the memory that a faulty engine can take
     * up.
     */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] DATA_PREFIX = {'d', 'a', 't', 'a', ':'};

    private final Consumer<byte[]> onEvent;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream event = new ByteArrayOutputStream();

    ServerSentEventParser(Consumer<byte[]> onEvent) {
        this.onEvent = onEvent;
    }

    /** Parses received bytes; returns false if an event exceeds the size limit. */
    boolean parse(byte[] data) {
        for (byte b : data) {
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                line.write(b);
            }
            if (line.size() + event.size() > MAX_EVENT_BYTES) {
                return false;
            }
        }
        return true;
    }

    private void endLine() {
        byte[] text = line.toByteArray();
        line.reset();
        if (text.length == 0) {
            if (event.size() > 0) {
                onEvent.accept(event.toByteArray());
                event.reset();
            }
        } else if (startsWithDataPrefix(text)) {
            int start = DATA_PREFIX.length;
            if (start < text.length && text[start] == ' ') {
                start++;
            }
            if (event.size() > 0) {
                event.write('\n');
            }
            event.write(text, start, text.length - start);
        }
    }

    private static boolean startsWithDataPrefix(byte[] text) {
        if (text.length < DATA_PREFIX.length) {
            return false;
        }
        for (int i = 0; i < DATA_PREFIX.length; i++) {
            if (text[i] != DATA_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }
}
