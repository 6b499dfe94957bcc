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

/** Shows every promise check to fail on made-up ledgers, and to pass on honest ones. */
public class PromiseTest {

    private static final Traffic CHAT = Declarations.traffic(Profile.DRIFTLESS).get(0);
    private static final Traffic CONFIRM = Declarations.traffic(Profile.DRIFTLESS).get(2);
    private static final Configuration DECLARED = Declarations.create(Profile.DRIFTLESS, 100, 1);
    private static final String ADAPTER = "adapter-0005";
    private static final int PINNED = DECLARED.adapter(ADAPTER).get().versionFor("route-chat");

    private Evidence evidence;

    @BeforeMethod
    public void honestRun() {
        evidence = Evidence.create();
        evidence.addDeclaration(DECLARED);
        tell(chat(true), "r1", ResultCode.OK, ADAPTER, PINNED, 100, true);
        tell(chat(true), "r2", ResultCode.QUEUE_FULL, "", 0, 0, false);
        tell(act("k1"), "a1", ResultCode.OK, "", 0, 100, true);
        engine("'runs':{'r1':1},'handleByRequest':{'r1 " + ADAPTER + '@' + PINNED + "#9':1}");
        runner("'actsByKey':{'pickup/m:k1':1},'actsByRequest':{'a1':1}");
    }

    private static Call chat(boolean entitled) {
        return new Call(0, 0, CHAT, ADAPTER, "m", "t", "p", 1, false, "", entitled);
    }

    private static Call act(String key) {
        return new Call(1, 0, CONFIRM, "", "m", "t", "p", 1, false, key, true);
    }

    private void tell(
            Call call,
            String id,
            ResultCode code,
            String adapter,
            int version,
            long number,
            boolean whole) {
        evidence.addTold(
                List.of(
                        new Told(
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
                                whole)));
    }

    private static JsonNode ledger(String fields) {
        String json = "{'id':'x'," + fields + '}';
        return org.bronzehill.standin.internal.Json.parse(
                json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private void engine(String fields) {
        evidence.addEngine(ledger(fields));
    }

    private void runner(String fields) {
        evidence.addRunner(ledger(fields));
    }

    private void onlyBroken(Promise broken) {
        for (Promise p : Promise.values()) {
            assertEquals(p.check(evidence).kept(), p != broken, p + " " + p.check(evidence));
        }
    }

    @Test
    public void honestRunKeepsEveryPromiseAndIsChecked() {
        onlyBroken(null);
        for (Promise p : List.of(Promise.P1, Promise.P3, Promise.P4, Promise.P5)) {
            assertTrue(p.check(evidence).checked() > 0, p + " checked nothing");
        }
    }

    @Test
    public void versionThatIsNotPinnedBreaksP1() {
        tell(chat(true), "r3", ResultCode.OK, ADAPTER, PINNED + 1, 100, true);
        onlyBroken(Promise.P1);
    }

    @Test
    public void callerThatIsNotEntitledBreaksP1() {
        tell(chat(false), "r3", ResultCode.OK, ADAPTER, PINNED, 100, true);
        onlyBroken(Promise.P1);
    }

    @Test
    public void runOnAnotherAdapterThanToldBreaksP1() {
        engine("'runs':{'r1':1},'handleByRequest':{'r1 other@1#9':1}");
        onlyBroken(Promise.P1);
    }

    @Test
    public void answerThatNoEngineHasRunBreaksP1UnlessALedgerIsLost() {
        tell(chat(true), "r3", ResultCode.OK, ADAPTER, PINNED, 100, true);
        onlyBroken(Promise.P1);
        evidence.addLostLedger();
        onlyBroken(null);
    }

    @Test
    public void cutOffRequestBreaksP2() {
        engine("'violations':[{'type':'cut-off','requestId':'r1','handle':'h'}]");
        onlyBroken(Promise.P2);
    }

    @Test
    public void partialAnswerBreaksP3() {
        engine("'runs':{'r3':1}");
        tell(chat(true), "r3", ResultCode.OK, ADAPTER, PINNED, 100, false);
        onlyBroken(Promise.P3);
    }

    @Test
    public void runOfARefusedRequestBreaksP4() {
        engine("'runs':{'r2':1}");
        onlyBroken(Promise.P4);
    }

    @Test
    public void actOfARefusedRequestBreaksP4() {
        tell(act("k2"), "a2", ResultCode.NO_WITNESSES, "", 0, 0, false);
        runner("'actsByKey':{'pickup/m:k2':1},'actsByRequest':{'a2':1}");
        onlyBroken(Promise.P4);
    }

    @Test
    public void actThatRanAtTwoRunnersBreaksP5() {
        runner("'actsByKey':{'pickup/m:k1':1}");
        onlyBroken(Promise.P5);
    }

    @Test
    public void confirmedActWithoutARecordBreaksP5() {
        tell(act("k2"), "a2", ResultCode.OK, "", 0, 100, true);
        onlyBroken(Promise.P5);
    }

    @Test
    public void workAfterTheBoundBreaksP6() {
        engine("'marked':true,'afterMark':{'loads':1}");
        onlyBroken(Promise.P6);
    }

    @Test
    public void brokenConnectionAtAPlannedStopBreaksP7() {
        evidence.addTold(
                List.of(
                        new Told(
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
        onlyBroken(null);
        evidence.addGracefulStop("entry-2", "");
        onlyBroken(Promise.P7);
    }

    @Test
    public void processThatDoesNotEndBreaksP7() {
        evidence.addGracefulStop("entry-3", "did not end after SIGTERM");
        onlyBroken(Promise.P7);
    }

    @Test
    public void olderNumberAfterTheBoundBreaksP8() {
        evidence.published(101, 10_001);
        onlyBroken(null);
        evidence.published(101, 10_000);
        onlyBroken(Promise.P8);
    }

    @Test
    public void numberThatGoesBackBreaksP8() {
        evidence.sawNumber("entry-1 start 1", 101);
        evidence.sawNumber("entry-1 start 2", 100);
        onlyBroken(null);
        evidence.sawNumber("entry-1 start 1", 100);
        onlyBroken(Promise.P8);
    }
}
