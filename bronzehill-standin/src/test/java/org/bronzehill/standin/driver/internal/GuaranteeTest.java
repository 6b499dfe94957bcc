package org.bronzehill.standin.driver.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.standin.Profile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against guarantee checks that miss a violation or report one for a correct run. Each test
 * adds the traces of one violation to the observations of a correct run.
 */
public class GuaranteeTest {

    private static final TrafficClass CHAT = Declarations.trafficClasses(Profile.DRIFTLESS).get(0);
    private static final TrafficClass CONFIRM =
            Declarations.trafficClasses(Profile.DRIFTLESS).get(2);
    private static final Configuration DECLARED = Declarations.create(Profile.DRIFTLESS, 100, 1);
    private static final String ADAPTER = "adapter-0005";
    private static final int PINNED = DECLARED.adapter(ADAPTER).get().versionFor("route-chat");

    private RunObservations observations;

    @BeforeMethod
    public void createCorrectRun() {
        observations = RunObservations.create();
        observations.addDeclaration(DECLARED);
        addOutcome(chat(true), "r1", ResultCode.OK, ADAPTER, PINNED, 100, true);
        addOutcome(chat(true), "r2", ResultCode.QUEUE_FULL, "", 0, 0, false);
        addOutcome(act("k1"), "a1", ResultCode.OK, "", 0, 100, true);
        engine("'runs':{'r1':1},'handleByRequest':{'r1 " + ADAPTER + '@' + PINNED + "#9':1}");
        runner("'actsByKey':{'pickup/m:k1':1},'actsByRequest':{'a1':1}");
    }

    private static Call chat(boolean entitled) {
        return new Call(0, 0, CHAT, ADAPTER, "m", "t", "p", 1, false, "", entitled);
    }

    private static Call act(String key) {
        return new Call(1, 0, CONFIRM, "", "m", "t", "p", 1, false, key, true);
    }

    private void addOutcome(
            Call call,
            String id,
            ResultCode code,
            String adapter,
            int version,
            long number,
            boolean correct) {
        observations.addOutcomes(
                List.of(
                        new AttemptOutcome(
                                call,
                                "entry-1",
                                10_000,
                                id,
                                code,
                                "",
                                adapter,
                                version,
                                number,
                                "engine-1",
                                correct)));
    }

    private static JsonNode ledger(String fields) {
        String json = "{'id':'x'," + fields + '}';
        return org.bronzehill.standin.internal.Json.parse(
                json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private void engine(String fields) {
        observations.addEngineLedger(ledger(fields));
    }

    private void runner(String fields) {
        observations.addRunnerLedger(ledger(fields));
    }

    private void assertOnlyViolated(Guarantee violated) {
        for (Guarantee guarantee : Guarantee.values()) {
            assertEquals(
                    guarantee.check(observations).holds(),
                    guarantee != violated,
                    guarantee + " " + guarantee.check(observations));
        }
    }

    @Test
    public void correctRunSatisfiesEveryGuaranteeAndIsChecked() {
        assertOnlyViolated(null);
        for (Guarantee guarantee :
                List.of(Guarantee.P1, Guarantee.P3, Guarantee.P4, Guarantee.P5)) {
            assertTrue(guarantee.check(observations).checked() > 0, guarantee + " checked nothing");
        }
    }

    @Test
    public void versionThatIsNotPinnedViolatesP1() {
        addOutcome(chat(true), "r3", ResultCode.OK, ADAPTER, PINNED + 1, 100, true);
        assertOnlyViolated(Guarantee.P1);
    }

    @Test
    public void callerThatIsNotEntitledViolatesP1() {
        addOutcome(chat(false), "r3", ResultCode.OK, ADAPTER, PINNED, 100, true);
        assertOnlyViolated(Guarantee.P1);
    }

    @Test
    public void runOnAnotherAdapterThanReportedViolatesP1() {
        engine("'runs':{'r1':1},'handleByRequest':{'r1 other@1#9':1}");
        assertOnlyViolated(Guarantee.P1);
    }

    @Test
    public void answerThatNoEngineHasRunViolatesP1UnlessALedgerIsLost() {
        addOutcome(chat(true), "r3", ResultCode.OK, ADAPTER, PINNED, 100, true);
        assertOnlyViolated(Guarantee.P1);
        observations.addLostLedger();
        assertOnlyViolated(null);
    }

    @Test
    public void cutOffRequestViolatesP2() {
        engine("'violations':[{'type':'cut-off','requestId':'r1','handle':'h'}]");
        assertOnlyViolated(Guarantee.P2);
    }

    @Test
    public void partialAnswerViolatesP3() {
        engine("'runs':{'r3':1}");
        addOutcome(chat(true), "r3", ResultCode.OK, ADAPTER, PINNED, 100, false);
        assertOnlyViolated(Guarantee.P3);
    }

    @Test
    public void runOfARefusedRequestViolatesP4() {
        engine("'runs':{'r2':1}");
        assertOnlyViolated(Guarantee.P4);
    }

    @Test
    public void actOfARefusedRequestViolatesP4() {
        addOutcome(act("k2"), "a2", ResultCode.NO_WITNESSES, "", 0, 0, false);
        runner("'actsByKey':{'pickup/m:k2':1},'actsByRequest':{'a2':1}");
        assertOnlyViolated(Guarantee.P4);
    }

    @Test
    public void actThatRanAtTwoRunnersViolatesP5() {
        runner("'actsByKey':{'pickup/m:k1':1}");
        assertOnlyViolated(Guarantee.P5);
    }

    @Test
    public void confirmedActWithoutARecordViolatesP5() {
        addOutcome(act("k2"), "a2", ResultCode.OK, "", 0, 100, true);
        assertOnlyViolated(Guarantee.P5);
    }

    @Test
    public void workAfterTheBoundViolatesP6() {
        engine("'marked':true,'afterMark':{'loads':1}");
        assertOnlyViolated(Guarantee.P6);
    }

    @Test
    public void brokenConnectionAtAPlannedStopViolatesP7() {
        observations.addOutcomes(
                List.of(
                        new AttemptOutcome(
                                chat(true),
                                "entry-2",
                                0,
                                "r4",
                                null,
                                "connection broken",
                                "",
                                0,
                                0,
                                "",
                                false)));
        assertOnlyViolated(null);
        observations.addGracefulStop("entry-2", "");
        assertOnlyViolated(Guarantee.P7);
    }

    @Test
    public void processThatDoesNotEndViolatesP7() {
        observations.addGracefulStop("entry-3", "did not end after SIGTERM");
        assertOnlyViolated(Guarantee.P7);
    }

    @Test
    public void olderNumberAfterTheBoundViolatesP8() {
        observations.setPublishedConfiguration(101, 10_001);
        assertOnlyViolated(null);
        observations.setPublishedConfiguration(101, 10_000);
        assertOnlyViolated(Guarantee.P8);
    }

    @Test
    public void numberThatGoesBackViolatesP8() {
        observations.addObservedNumber("entry-1 start 1", 101);
        observations.addObservedNumber("entry-1 start 2", 100);
        assertOnlyViolated(null);
        observations.addObservedNumber("entry-1 start 1", 100);
        assertOnlyViolated(Guarantee.P8);
    }
}
