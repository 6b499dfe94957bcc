package org.bronzehill.core.forward;

import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Records messages of this build for {@link EarlierBuildMessagesTest}: of each kind the largest one
 * that a fleet on virtual time sends, and the largest load share and digest that state claims.
 */
public final class PeerMessageRecorder {

    private static final int MAX_BYTES = 900;

    /** Bandwidth of the links of the large fleet, in Mbit/s. */
    private static final int LINK_MBPS = 100;

    private static final Duration SETTLED = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofSeconds(1);
    private static final String ENGINE = "e1";

    private final Map<String, Envelope> recorded = new TreeMap<>();

    private PeerMessageRecorder() {}

    /**
     * Writes the messages to a file.
     *
     * @param args the name of the build and the file
     */
    public static void main(String[] args) throws IOException {
        PeerMessageRecorder recorder = new PeerMessageRecorder();
        recorder.playSmallFleet();
        recorder.playLargeFleet();
        List<String> lines = new ArrayList<>();
        recorder.recorded
                .values()
                .forEach(
                        e ->
                                lines.add(
                                        String.join(
                                                " ",
                                                args[0],
                                                e.getBodyCase().name(),
                                                HexFormat.of().formatHex(e.toByteArray()),
                                                text(e))));
        Files.write(Path.of(args[1]), lines, StandardCharsets.UTF_8);
    }

    /** Returns the contents of a message with the names of its fields, in one line. */
    static String text(Envelope envelope) {
        return TextFormat.printer().emittingSingleLine(true).printToString(envelope);
    }

    private void onSent(Envelope envelope) {
        boolean claims =
                envelope.getLoadShare().getOrderedCount() > 0
                        || envelope.getLoadDigest().getClaimsCount() > 0;
        String kind = envelope.getBodyCase().name() + (claims ? "-claims" : "");
        // The socket of the platform adds these.
        Envelope whole = envelope.toBuilder().setToIncarnation(1).setConfigurationNumber(1).build();
        Envelope known = recorded.get(kind);
        int size = whole.getSerializedSize();
        if (size <= MAX_BYTES && (known == null || size > known.getSerializedSize())) {
            recorded.put(kind, whole);
        }
    }

    private void playSmallFleet() {
        FleetRig rig = new FleetRig(3, 1, 1);
        rig.run(SETTLED);
        rig.onSent(this::onSent);
        for (int i = 0; i < 3; i++) {
            rig.node(i).call();
            rig.node(i).stream(ForwardRig.adapter(i + 1));
        }
        rig.run(STEP);
        FakeTransport begun = rig.node(0).stream(List.of());
        begun.call().onAnswerBegun();
        begun.call().onProgress();
        rig.run(STEP);
        rig.restart(2).resume(begun.call().request().id());
        rig.run(STEP);
        rig.setFingerprint(new byte[] {0, 1});
        FakeTransport found = rig.node(1).call();
        rig.node(1).call().call().onConnectionLost("closed");
        found.call().onUnreachable("refused");
        FakeTransport withPart = rig.node(1).stream(List.of(1L, 2L));
        rig.engines().crash(ENGINE);
        withPart.call().onConnectionLost("closed");
        rig.run(STEP);
        rig.engines().restart(ENGINE);
        rig.kill(2);
        rig.run(SETTLED);
        rig.node(1).forwarder.drain(STEP, STEP);
        rig.run(STEP);
    }

    private void playLargeFleet() {
        FleetRig rig = new FleetRig(26, 2, 4, 6, number -> LINK_MBPS);
        rig.run(SETTLED);
        rig.onSent(this::onSent);
        for (int i = 0; i < 6; i++) {
            rig.node(i).call();
            rig.node(i).stream(ForwardRig.adapter(i));
        }
        rig.run(STEP);
    }
}
