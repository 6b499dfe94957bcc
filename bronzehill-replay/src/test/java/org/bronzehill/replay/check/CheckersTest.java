package org.bronzehill.replay.check;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.harness.EventLog;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against checkers that miss a violation, and against checkers that report a false one. */
public class CheckersTest {

    private static final long SECOND = 1_000_000_000L;
    private static final Deployment DEPLOYMENT = Deployment.named("driftless-small");
    private static final LogEvent ARRIVED = arrived("q", "caller-0", "adapter-0");
    private static final LogEvent CONFIGURATION_APPLIED =
            new LogEvent.ConfigurationApplied(0, "entry-0", 7, 1);
    private static final LogEvent ACCEPTED =
            new LogEvent.AttemptAccepted(
                    2 * SECOND, "engine-0", "adapter-0@1#5", "q", 1, "entry-0");
    private static final LogEvent RUN_STARTED = ran("adapter-0@1#5");
    private static final LogEvent RUN_COMPLETE =
            new LogEvent.RunEnded(3 * SECOND, "engine-0", "adapter-0@1#5", "q", "complete");

    private static LogEvent arrived(String id, String caller, String adapter) {
        return new LogEvent.RequestArrived(
                SECOND, id, "entry-0", caller, "route-chat", adapter, "", 0);
    }

    private static LogEvent ran(String handle) {
        return new LogEvent.RunStarted(2 * SECOND, "engine-0", handle, "q", 1, 0);
    }

    private static LogEvent answered(ResultCode code, boolean complete, int version) {
        Provenance p = new Provenance("adapter-0", version, 1, "engine-0", "entry-0");
        return new LogEvent.RequestAnswered(4 * SECOND, "q", "entry-0", code, p, complete, 0, "");
    }

    private static LogEvent executed(String key, String request) {
        return new LogEvent.CallExecuted(2 * SECOND, "runner-0", "entry-0", "call", key, request);
    }

    private static LogEvent process(long at, String state) {
        return new LogEvent.InstanceStateChanged(at, "entry-0", 7, state);
    }

    private static List<String> violatedProperties(LogEvent... events) {
        RunResult run =
                new RunResult(
                        DEPLOYMENT,
                        EventLog.of(events),
                        Map.of(
                                1L,
                                DEPLOYMENT.configuration(),
                                2L,
                                DEPLOYMENT.configuration(2, Map.of("adapter-0", 2))),
                        Map.of(),
                        0,
                        0,
                        0,
                        Map.of(),
                        0,
                        Map.of(),
                        30 * SECOND);
        return Checkers.check(run).stream().map(Violation::property).distinct().toList();
    }

    private static LogEvent[] log(LogEvent... events) {
        return events;
    }

    @DataProvider
    Object[][] logsWithoutViolation() {
        LogEvent leaving = new LogEvent.UpstreamStatePublished(0, "engine-0", "leaving");
        return new Object[][] {
            {
                "complete answer",
                log(
                        CONFIGURATION_APPLIED,
                        ARRIVED,
                        ACCEPTED,
                        RUN_STARTED,
                        RUN_COMPLETE,
                        answered(ResultCode.OK, true, 1))
            },
            {
                "refusal of a request that was not run",
                log(ARRIVED, answered(ResultCode.QUEUE_FULL, true, 0))
            },
            {
                "act and its recorded answer",
                log(
                        executed("k", "a"),
                        new LogEvent.RequestAnswered(
                                4 * SECOND,
                                "b",
                                "e",
                                ResultCode.RECORDED_ANSWER,
                                null,
                                true,
                                0,
                                ""))
            },
            {
                "work in the first five seconds of leaving",
                log(
                        leaving,
                        CONFIGURATION_APPLIED,
                        arrived("q", "caller-0", "adapter-0"),
                        ACCEPTED,
                        RUN_STARTED,
                        RUN_COMPLETE,
                        answered(ResultCode.OK, true, 1))
            },
            {
                "call that a slow link delivers to a leaving runner",
                log(
                        new LogEvent.UpstreamStatePublished(0, "runner-0", "leaving"),
                        new LogEvent.DelayedDelivery(6 * SECOND, "runner-0", SECOND),
                        new LogEvent.CallReceived(6 * SECOND, "runner-0", "entry-0", "a"))
            },
            {
                "stop with nothing in flight",
                log(new LogEvent.DrainState(9 * SECOND, "entry-0", SECOND, true, 0, 0, 0))
            },
            {
                "two instances with the same incarnation",
                log(
                        new LogEvent.ConfigurationApplied(0, "entry-0", 7, 1),
                        new LogEvent.ConfigurationApplied(1, "entry-1", 7, 0))
            },
            {
                "service down when a number is published",
                log(
                        new LogEvent.ConfigurationServiceMode(0, "down"),
                        new LogEvent.ConfigurationPublished(SECOND, 2),
                        new LogEvent.ConfigurationServiceMode(27 * SECOND, "up"))
            },
        };
    }

    @Test(dataProvider = "logsWithoutViolation")
    public void logWithoutViolationPasses(String name, LogEvent[] events) {
        assertEquals(violatedProperties(events), List.of(), name);
    }

    @DataProvider
    Object[][] logsWithRequestViolation() {
        return new Object[][] {
            {
                "P1",
                "wrong version",
                log(
                        CONFIGURATION_APPLIED,
                        ARRIVED,
                        ACCEPTED,
                        ran("adapter-0@2#5"),
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P1",
                "wrong adapter",
                log(
                        CONFIGURATION_APPLIED,
                        ARRIVED,
                        ACCEPTED,
                        ran("adapter-4@1#5"),
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P1",
                "caller not entitled",
                log(
                        CONFIGURATION_APPLIED,
                        arrived("q", "caller-1", "adapter-0"),
                        ACCEPTED,
                        RUN_STARTED,
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P2",
                "eviction in use",
                log(
                        new LogEvent.AdapterEvicted(
                                SECOND, "engine-0", "adapter-0@1#5", "entry-0", List.of("q")))
            },
            {
                "P3",
                "incomplete answer",
                log(
                        CONFIGURATION_APPLIED,
                        ARRIVED,
                        ACCEPTED,
                        RUN_STARTED,
                        RUN_COMPLETE,
                        answered(ResultCode.OK, false, 1))
            },
            {"P3", "no answer", log(ARRIVED)},
            {
                "P3",
                "two answers",
                log(ARRIVED, answered(ResultCode.SHED, true, 0), answered(ResultCode.SHED, true, 0))
            },
            {"P3", "answer without a run", log(ARRIVED, answered(ResultCode.OK, true, 1))},
            {
                "P4",
                "refusal after a run",
                log(
                        CONFIGURATION_APPLIED,
                        ARRIVED,
                        ACCEPTED,
                        RUN_STARTED,
                        answered(ResultCode.DEADLINE_HOPELESS, true, 0))
            },
            {
                "P4",
                "refusal of an act that ran",
                log(executed("k", "q"), answered(ResultCode.NO_WITNESSES, true, 0))
            },
        };
    }

    @DataProvider
    Object[][] logsWithOperationViolation() {
        return new Object[][] {
            {"P5", "act executed twice", log(executed("k", "a"), executed("k", "b"))},
            {
                "P6",
                "work for a leaving engine",
                log(
                        new LogEvent.UpstreamStatePublished(0, "engine-0", "leaving"),
                        new LogEvent.OrderHandled(
                                6 * SECOND, "engine-0", "LOAD", "h", "entry-0", "STARTED"))
            },
            {
                "P6",
                "call sent late to a leaving runner",
                log(
                        new LogEvent.UpstreamStatePublished(0, "runner-0", "leaving"),
                        new LogEvent.DelayedDelivery(9 * SECOND, "runner-0", 6 * SECOND),
                        new LogEvent.CallReceived(9 * SECOND, "runner-0", "entry-0", "a"))
            },
            {
                "P6",
                "call to a leaving runner",
                log(
                        new LogEvent.UpstreamStatePublished(0, "runner-0", "leaving"),
                        new LogEvent.CallReceived(6 * SECOND, "runner-0", "entry-0", "a"))
            },
            {
                "P7",
                "stop with open requests",
                log(new LogEvent.DrainState(9 * SECOND, "entry-0", SECOND, true, 1, 0, 0))
            },
            {
                "P7",
                "stop that does not end",
                log(new LogEvent.DrainState(30 * SECOND, "entry-0", SECOND, false, 0, 0, 0))
            },
            {
                "P7",
                "draining holder cancels",
                log(
                        CONFIGURATION_APPLIED,
                        ARRIVED,
                        ACCEPTED,
                        RUN_STARTED,
                        process(2 * SECOND, "draining"),
                        new LogEvent.RunEnded(
                                3 * SECOND, "engine-0", "adapter-0@1#5", "q", "cancelled"),
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P8",
                "older number",
                log(
                        new LogEvent.ConfigurationApplied(0, "entry-0", 7, 2),
                        new LogEvent.ConfigurationApplied(SECOND, "entry-0", 7, 1))
            },
            {
                "P8",
                "number not put in force in time",
                log(new LogEvent.ConfigurationPublished(SECOND, 2))
            },
        };
    }

    @Test(dataProvider = "logsWithOperationViolation")
    public void operationViolationIsFound(String property, String name, LogEvent[] events) {
        assertEquals(violatedProperties(events), List.of(property), name);
    }

    @Test(dataProvider = "logsWithRequestViolation")
    public void requestViolationIsFound(String property, String name, LogEvent[] events) {
        assertEquals(violatedProperties(events), List.of(property), name);
    }
}
