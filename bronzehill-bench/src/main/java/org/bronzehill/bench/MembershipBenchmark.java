package org.bronzehill.bench;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures one probe period of all instances of a fleet. The result table divides the time by the
 * number of instances.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class MembershipBenchmark {

    @Param({"9", "380"})
    public int instances;

    private MembershipFleet fleet;

    @Setup
    public void setUp() {
        fleet = new MembershipFleet(instances);
        for (int i = 0; i < 20; i++) {
            fleet.round();
        }
    }

    /** Runs one probe period. */
    @Benchmark
    public long round() {
        fleet.round();
        return fleet.messages();
    }
}
