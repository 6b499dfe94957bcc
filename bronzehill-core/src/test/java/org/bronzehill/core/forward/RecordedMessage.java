package org.bronzehill.core.forward;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Message of an earlier build, as {@link PeerMessageRecorder} wrote it.
 *
 * @param text its contents, as that build printed them
 */
record RecordedMessage(String build, String kind, byte[] bytes, String text) {

    private static final String RESOURCE = "earlier-builds.txt";

    /** Returns all messages that have been recorded. */
    static List<RecordedMessage> all() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                RecordedMessage.class.getResourceAsStream(RESOURCE),
                                StandardCharsets.UTF_8))) {
            return in.lines().map(RecordedMessage::parse).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static RecordedMessage parse(String line) {
        String[] parts = line.split(" ", 4);
        return new RecordedMessage(parts[0], parts[1], HexFormat.of().parseHex(parts[2]), parts[3]);
    }

    Envelope decode() {
        try {
            return Envelope.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public String toString() {
        return build + " " + kind;
    }
}
