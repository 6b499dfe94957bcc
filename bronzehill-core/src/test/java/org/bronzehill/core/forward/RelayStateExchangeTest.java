package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.node.Effect;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.RelayState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the messages in which instances state what they serve for isolated ones. */
public class RelayStateExchangeTest {

    /** Bound on all control traffic of an instance. */
    private static final int MAX_CONTROL_BYTES_PER_SECOND = 20_000;

    /** Number of instances of the largest fleet. */
    private static final int LARGEST_FLEET = 380;

    /** Addresses and identifiers that the socket adds to each envelope, as long as they get. */
    private static final int ENVELOPE_BYTES = 70;

    private ForwardRig rig;

    @BeforeMethod
    public void setUp() {
        rig = new ForwardRig(0, 4, Duration.ofMillis(250), 8);
    }

    private void join(int others) {
        for (int i = 0; i < others; i++) {
            rig.join("o" + i);
        }
        rig.effects().clear();
    }

    /** Advances the time; the other instances answer probes. */
    private void advance(Duration time) {
        Duration step = Duration.ofMillis(50);
        for (long i = time.dividedBy(step); i > 0; i--) {
            int before = rig.effects().size();
            rig.scheduler().advance(step);
            List<Effect> added = rig.effects();
            List.copyOf(added.subList(before, added.size())).forEach(rig::answerProbe);
        }
    }

    private void isolate() {
        rig.engines().setConnectable(false);
        rig.open(RequestKind.IDEMPOTENT, 3).call().onUnreachable("connect-timeout");
        assertTrue(rig.forwarder().relays().isIsolated());
    }

    /** Returns the statements that were sent since the last call, and forgets all messages. */
    private List<Effect.SendPeer> sent() {
        List<Effect.SendPeer> statements = new ArrayList<>();
        for (Effect e : rig.effects()) {
            if (e instanceof Effect.SendPeer s && s.envelope().hasRelayState()) {
                statements.add(s);
            }
        }
        rig.effects().clear();
        return statements;
    }

    private void receive(String from, long incarnation, RelayState.Builder state) {
        rig.forwarder()
                .onMessage(
                        Envelope.newBuilder()
                                .setFrom(from)
                                .setFromIncarnation(incarnation)
                                .setRelayState(state.setValidMs(1000))
                                .build());
    }

    private static RelayState.Builder isolatedState(long version) {
        return RelayState.newBuilder().setVersion(version).setIsolated(true);
    }

    private static RelayState.Builder usualState(long version) {
        return RelayState.newBuilder().setVersion(version);
    }

    @Test
    public void changesAreToldToAllAtOnce() {
        join(8);
        isolate();
        List<Effect.SendPeer> begin = sent();
        assertEquals(begin.stream().map(Effect.SendPeer::instance).distinct().count(), 8);
        assertTrue(begin.stream().allMatch(s -> s.envelope().getRelayState().getIsolated()));
        rig.engines().setConnectable(true);
        advance(Duration.ofMillis(350));
        assertFalse(rig.forwarder().relays().isIsolated());
        List<Effect.SendPeer> end = sent();
        assertEquals(
                end.stream()
                        .filter(s -> !s.envelope().getRelayState().getIsolated())
                        .map(Effect.SendPeer::instance)
                        .distinct()
                        .count(),
                8);
        assertTrue(
                end.get(end.size() - 1).envelope().getRelayState().getVersion()
                        > begin.get(0).envelope().getRelayState().getVersion());
    }

    @Test
    public void statementIsRepeatedWhileItHoldsAndItsEndForATime() {
        join(2);
        isolate();
        sent();
        advance(Duration.ofSeconds(3));
        assertTrue(sent().size() >= 8);
        rig.engines().setConnectable(true);
        advance(Duration.ofSeconds(3));
        assertTrue(sent().size() >= 6);
        advance(Duration.ofSeconds(3));
        assertEquals(sent().size(), 0);
    }

    /** Guards against a stop whose times are told to nobody who needs them. */
    @Test
    public void stopIsToldToInstancesThatBecomeIsolatedLater() {
        join(3);
        rig.forwarder().drain(Duration.ofMillis(2500), Duration.ofMillis(7100));
        advance(Duration.ofSeconds(1));
        sent();
        receive("o1", 1, isolatedState(1));
        List<Effect.SendPeer> reply = sent();
        assertEquals(reply.size(), 1);
        assertEquals(reply.get(0).instance(), "o1");
        RelayState state = reply.get(0).envelope().getRelayState();
        assertEquals(state.getAcceptsAnyMs(), 1500);
        assertEquals(state.getAcceptsMs(), 3800);
        assertEquals(state.getEndsMs(), 6100);
        rig.forwarder().relays().withdraw();
        state = sent().get(0).envelope().getRelayState();
        assertEquals(state.getAcceptsMs(), 0);
        assertEquals(state.getAcceptsAnyMs(), 0);
    }

    @DataProvider
    public static Object[][] outdated() {
        return new Object[][] {{1L, 4L}, {0L, 9L}};
    }

    /** Guards against an earlier statement that arrives late. */
    @Test(dataProvider = "outdated")
    public void outdatedStatementIsIgnored(long incarnation, long version) {
        join(1);
        receive("o0", 1, usualState(5));
        receive("o0", incarnation, isolatedState(version));
        assertEquals(rig.forwarder().relays().isolatedOthers(), 0);
    }

    @Test
    public void statementExpires() {
        join(1);
        receive("o0", 1, isolatedState(1));
        advance(Duration.ofMillis(950));
        assertEquals(rig.forwarder().relays().isolatedOthers(), 1);
        advance(Duration.ofMillis(100));
        assertEquals(rig.forwarder().relays().isolatedOthers(), 0);
    }

    @Test
    public void statementOfAnUnknownInstanceIsIgnored() {
        receive("stranger", 1, isolatedState(1));
        assertEquals(rig.forwarder().relays().isolatedOthers(), 0);
    }

    /** Guards against an instance that fails on a message that a later build has introduced. */
    @Test
    public void messageOfAnUnknownKindIsIgnored() {
        join(1);
        UnknownFieldSet later =
                UnknownFieldSet.newBuilder()
                        .addField(
                                2000,
                                UnknownFieldSet.Field.newBuilder()
                                        .addLengthDelimited(ByteString.copyFromUtf8("later"))
                                        .build())
                        .build();
        rig.forwarder()
                .onMessage(
                        Envelope.newBuilder()
                                .setFrom("o0")
                                .setFromIncarnation(1)
                                .setUnknownFields(later)
                                .build());
        assertEquals(rig.effects(), List.of());
    }

    /** Guards against statements that fill the links of a large fleet. */
    @Test
    public void statementsStayWithinTheBoundOnControlTraffic() {
        join(LARGEST_FLEET - 1);
        isolate();
        for (int second = 0; second < 10; second++) {
            rig.effects().removeIf(e -> !isStatement(e));
            advance(Duration.ofSeconds(1));
            int bytes =
                    sent().stream()
                            .mapToInt(s -> s.envelope().build().getSerializedSize())
                            .map(content -> content + ENVELOPE_BYTES)
                            .sum();
            assertTrue(bytes < MAX_CONTROL_BYTES_PER_SECOND, second + ": " + bytes);
        }
    }

    /** Guards against instances of a large fleet that are told last, or never. */
    @Test
    public void allInstancesOfALargeFleetAreTold() {
        join(LARGEST_FLEET - 1);
        receive("o77", 1, isolatedState(1));
        isolate();
        List<Effect.SendPeer> first = sent();
        assertEquals(first.get(0).instance(), "o77");
        List<Effect.SendPeer> all = new ArrayList<>(first);
        advance(Duration.ofSeconds(4));
        all.addAll(sent());
        assertEquals(
                all.stream().map(Effect.SendPeer::instance).distinct().count(), LARGEST_FLEET - 1);
        assertTrue(all.get(0).envelope().getRelayState().getValidMs() >= 2 * 3800);
    }

    private static boolean isStatement(Effect e) {
        return e instanceof Effect.SendPeer s && s.envelope().hasRelayState();
    }
}
