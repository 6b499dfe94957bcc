package org.bronzehill.bench;

import java.util.concurrent.TimeUnit;
import org.bronzehill.config.ConfigurationStore;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the application of a one-adapter configuration change to a configuration store. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ConfigurationBenchmark {

    @Param({"3000", "90000"})
    public int adapters;

    private ConfigurationStore store;
    private Fixtures.Changes changes;

    @Setup
    public void setUp() {
        changes = new Fixtures.Changes(adapters);
        store = ConfigurationStore.create();
        store.offer(changes.first());
    }

    /** Applies the next change. */
    @Benchmark
    public Object apply() {
        return store.offer(changes.next()).get();
    }
}
