package org.bronzehill.replay.generate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.bronzehill.replay.check.Checkers;
import org.bronzehill.replay.expect.Expectation;
import org.bronzehill.replay.expect.ExpectationFile;
import org.bronzehill.replay.expect.ExpectationGenerator;
import org.bronzehill.replay.expect.Expectations;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.harness.RunResult;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceFormat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against decision code that changes the outcomes of shipped traces, and against shipped
 * files that differ from the output of the generator.
 */
public class ShippedTracesTest {

    @DataProvider
    Object[][] traces() {
        return ShippedTraces.all().stream()
                .map(e -> new Object[] {e.name(), e})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "traces")
    public void replayHasExpectedOutcomes(String name, ShippedTraces.TraceSpec spec)
            throws IOException {
        Trace trace = TraceFormat.read(ShippedTraces.open(spec, "trace"));
        List<Expectation> expected = ExpectationFile.read(ShippedTraces.open(spec, "expect"));
        assertTrue(trace.equals(spec.trace()), name + " differs from the generator's output");
        assertEquals(expected, ExpectationGenerator.of(trace), name);
        RunResult run = Replay.run(trace);
        assertEquals(Checkers.check(run), List.of(), name);
        assertEquals(Expectations.compare(trace, run, expected), List.of(), name);
    }

    @Test
    public void mismatchNamesRecordExpectedAndActualOutcome() {
        Trace trace = ShippedTraces.all().get(0).trace();
        RunResult run = Replay.run(trace);
        List<Expectation> wrong = List.of(Expectation.of("q1", List.of("SHED"), List.of()));
        List<Expectations.Mismatch> found = Expectations.compare(trace, run, wrong);
        assertEquals(found.size(), 1);
        assertTrue(found.get(0).toString().contains("\"id\":\"q1\""), found.toString());
        assertTrue(found.get(0).expected().contains("SHED"));
        assertFalse(found.get(0).actual().isEmpty());
    }
}
