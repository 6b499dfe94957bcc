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

/** Guards against checkers that pass a log in which the property does not hold. */
public class CheckersTest {

    private static final long S = 1_000_000_000L;
    private static final Deployment DEPLOYMENT = Deployment.named("driftless-small");
    private static final LogEvent ARRIVED = arrived("q", "caller-0", "adapter-0");
    private static final LogEvent IN_FORCE = new LogEvent.ConfigurationApplied(0, "entry-0", 7, 1);
    private static final LogEvent ACCEPTED =
            new LogEvent.AttemptAccepted(2 * S, "engine-0", "adapter-0@1#5", "q", 1, "entry-0");
    private static final LogEvent RAN = ran("adapter-0@1#5");
    private static final LogEvent COMPLETE =
            new LogEvent.RunEnded(3 * S, "engine-0", "adapter-0@1#5", "q", "complete");

    private static LogEvent arrived(String id, String caller, String adapter) {
        return new LogEvent.RequestArrived(S, id, "entry-0", caller, "route-chat", adapter, "", 0);
    }

    private static LogEvent ran(String handle) {
        return new LogEvent.RunStarted(2 * S, "engine-0", handle, "q", 1, 0);
    }

    private static LogEvent answered(ResultCode code, boolean whole, int version) {
        Provenance p = new Provenance("adapter-0", version, 1, "engine-0", "entry-0");
        return new LogEvent.RequestAnswered(4 * S, "q", "entry-0", code, p, whole, 0, "");
    }

    private static LogEvent executed(String key, String request) {
        return new LogEvent.CallExecuted(2 * S, "runner-0", "entry-0", "call", key, request);
    }

    private static LogEvent process(long at, String what) {
        return new LogEvent.InstanceStateChanged(at, "entry-0", 7, what);
    }

    private static List<String> violated(LogEvent... events) {
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
                        30 * S);
        return Checkers.check(run).stream().map(Violation::property).distinct().toList();
    }

    private static LogEvent[] log(LogEvent... events) {
        return events;
    }

    @DataProvider
    Object[][] sound() {
        LogEvent leaving = new LogEvent.UpstreamStatePublished(0, "engine-0", "leaving");
        return new Object[][] {
            {
                "complete answer",
                log(IN_FORCE, ARRIVED, ACCEPTED, RAN, COMPLETE, answered(ResultCode.OK, true, 1))
            },
            {"true refusal", log(ARRIVED, answered(ResultCode.QUEUE_FULL, true, 0))},
            {
                "act and its recorded answer",
                log(
                        executed("k", "a"),
                        new LogEvent.RequestAnswered(
                                4 * S, "b", "e", ResultCode.RECORDED_ANSWER, null, true, 0, ""))
            },
            {
                "work in the first five seconds of leaving",
                log(
                        leaving,
                        IN_FORCE,
                        arrived("q", "caller-0", "adapter-0"),
                        ACCEPTED,
                        RAN,
                        COMPLETE,
                        answered(ResultCode.OK, true, 1))
            },
            {
                "call that a slow link delivers to a leaving runner",
                log(
                        new LogEvent.UpstreamStatePublished(0, "runner-0", "leaving"),
                        new LogEvent.DelayedDelivery(6 * S, "runner-0", S),
                        new LogEvent.CallReceived(6 * S, "runner-0", "entry-0", "a"))
            },
            {
                "stop with nothing in flight",
                log(new LogEvent.DrainState(9 * S, "entry-0", S, true, 0, 0, 0))
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
                        new LogEvent.ConfigurationPublished(S, 2),
                        new LogEvent.ConfigurationServiceMode(27 * S, "up"))
            },
        };
    }

    @Test(dataProvider = "sound")
    public void passesSoundLogs(String name, LogEvent[] events) {
        assertEquals(violated(events), List.of(), name);
    }

    @DataProvider
    Object[][] broken() {
        return new Object[][] {
            {
                "P1",
                "wrong version",
                log(
                        IN_FORCE,
                        ARRIVED,
                        ACCEPTED,
                        ran("adapter-0@2#5"),
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P1",
                "wrong adapter",
                log(
                        IN_FORCE,
                        ARRIVED,
                        ACCEPTED,
                        ran("adapter-4@1#5"),
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P1",
                "caller not entitled",
                log(
                        IN_FORCE,
                        arrived("q", "caller-1", "adapter-0"),
                        ACCEPTED,
                        RAN,
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P2",
                "eviction in use",
                log(
                        new LogEvent.AdapterEvicted(
                                S, "engine-0", "adapter-0@1#5", "entry-0", List.of("q")))
            },
            {
                "P3",
                "part of an answer",
                log(IN_FORCE, ARRIVED, ACCEPTED, RAN, COMPLETE, answered(ResultCode.OK, false, 1))
            },
            {"P3", "no answer", log(ARRIVED)},
            {
                "P3",
                "two answers",
                log(ARRIVED, answered(ResultCode.SHED, true, 0), answered(ResultCode.SHED, true, 0))
            },
            {"P3", "answer from nowhere", log(ARRIVED, answered(ResultCode.OK, true, 1))},
            {
                "P4",
                "refusal after a run",
                log(
                        IN_FORCE,
                        ARRIVED,
                        ACCEPTED,
                        RAN,
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
    Object[][] brokenOperation() {
        return new Object[][] {
            {"P5", "act twice", log(executed("k", "a"), executed("k", "b"))},
            {
                "P6",
                "work for a leaving engine",
                log(
                        new LogEvent.UpstreamStatePublished(0, "engine-0", "leaving"),
                        new LogEvent.OrderHandled(
                                6 * S, "engine-0", "LOAD", "h", "entry-0", "STARTED"))
            },
            {
                "P6",
                "call sent late to a leaving runner",
                log(
                        new LogEvent.UpstreamStatePublished(0, "runner-0", "leaving"),
                        new LogEvent.DelayedDelivery(9 * S, "runner-0", 6 * S),
                        new LogEvent.CallReceived(9 * S, "runner-0", "entry-0", "a"))
            },
            {
                "P6",
                "call to a leaving runner",
                log(
                        new LogEvent.UpstreamStatePublished(0, "runner-0", "leaving"),
                        new LogEvent.CallReceived(6 * S, "runner-0", "entry-0", "a"))
            },
            {
                "P7",
                "stop with open requests",
                log(new LogEvent.DrainState(9 * S, "entry-0", S, true, 1, 0, 0))
            },
            {
                "P7",
                "stop that does not end",
                log(new LogEvent.DrainState(30 * S, "entry-0", S, false, 0, 0, 0))
            },
            {
                "P7",
                "draining holder cancels",
                log(
                        IN_FORCE,
                        ARRIVED,
                        ACCEPTED,
                        RAN,
                        process(2 * S, "draining"),
                        new LogEvent.RunEnded(3 * S, "engine-0", "adapter-0@1#5", "q", "cancelled"),
                        answered(ResultCode.UPSTREAM_FAILED, true, 0))
            },
            {
                "P8",
                "older number",
                log(
                        new LogEvent.ConfigurationApplied(0, "entry-0", 7, 2),
                        new LogEvent.ConfigurationApplied(S, "entry-0", 7, 1))
            },
            {"P8", "number not in force in time", log(new LogEvent.ConfigurationPublished(S, 2))},
        };
    }

    @Test(dataProvider = "brokenOperation")
    public void findsViolationsOfOperation(String property, String name, LogEvent[] events) {
        assertEquals(violated(events), List.of(property), name);
    }

    @Test(dataProvider = "broken")
    public void findsViolations(String property, String name, LogEvent[] events) {
        assertEquals(violated(events), List.of(property), name);
    }
}
