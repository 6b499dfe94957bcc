package org.bronzehill.core.membership;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.MemberUpdate;
import org.bronzehill.protocol.generated.PeerStatus;
import org.bronzehill.protocol.generated.Ping;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a member table beside instances of earlier and later builds. */
public class MixedBuildsMembershipTest {

    private static final int LINK_MBPS = 100;

    /** Status that no build states. */
    private static final int UNKNOWN_STATUS = 99;

    private final List<Effect> effects = new ArrayList<>();
    private Membership membership;

    @BeforeMethod
    public void create() {
        membership =
                Membership.create(
                        new InstanceRef("i1", 1, "10.0.0.1", 7000, "a", "r"),
                        ManualTimeSource.startingAt(Instant.parse("2026-12-04T06:00:00Z")),
                        new Random(1));
    }

    private static MemberUpdate.Builder update(String id, int port) {
        return MemberUpdate.newBuilder()
                .setId(id)
                .setIncarnation(7)
                .setHost("10.0.0.2")
                .setPort(port)
                .setDataCentre("a")
                .setRegion("r")
                .setStatus(PeerStatus.PEER_STATUS_ALIVE);
    }

    private void receive(String from, MemberUpdate.Builder... updates) {
        Ping.Builder ping = Ping.newBuilder().setSequence(1);
        for (MemberUpdate.Builder u : updates) {
            ping.addUpdates(u);
        }
        membership.onMessage(
                Envelope.newBuilder().setFrom(from).setFromIncarnation(7).setPing(ping).build(),
                effects::add);
    }

    private int linkOf(String id) {
        return membership.peer(id).get().ref().linkMbps();
    }

    /**
     * Guards against collectors that are chosen differently because an instance of an earlier build
     * was the first to tell of a member.
     */
    @Test
    public void fieldThatAnEarlierBuildHasLeftOutIsLearnedFromTheMemberItself() {
        receive("earlier", update("earlier", 7001), update("present", 7002));
        receive("present", update("present", 7002).setLinkMbps(LINK_MBPS));
        assertEquals(linkOf("present"), LINK_MBPS);
        assertEquals(
                membership.live().stream().map(InstanceRef::linkMbps).toList(),
                List.of(0, 0, LINK_MBPS));
    }

    /** Guards against a known field that the message of an earlier build removes. */
    @Test
    public void fieldThatAnEarlierBuildLeavesOutIsKept() {
        receive("present", update("present", 7002).setLinkMbps(LINK_MBPS));
        receive("earlier", update("earlier", 7001), update("present", 7002).setRefutation(3));
        assertEquals(linkOf("present"), LINK_MBPS);
    }

    /** Guards against a status of a later build that ends the membership of an instance. */
    @Test
    public void unknownStatusSaysNothing() {
        receive("later", update("later", 7001).setStatusValue(UNKNOWN_STATUS));
        assertEquals(
                membership.peer("later").get().status(),
                org.bronzehill.core.membership.PeerStatus.ALIVE);
        receive(
                "later",
                update("later", 7001).setRefutation(1).setStatus(PeerStatus.PEER_STATUS_LEAVING));
        receive("later", update("later", 7001).setRefutation(2).setStatusValue(UNKNOWN_STATUS));
        assertEquals(
                membership.peer("later").get().status(),
                org.bronzehill.core.membership.PeerStatus.LEAVING);
    }
}
