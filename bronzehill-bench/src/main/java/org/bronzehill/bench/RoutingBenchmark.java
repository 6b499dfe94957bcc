package org.bronzehill.bench;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzehill.core.placement.RouteQuery;
import org.bronzehill.core.placement.Router;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.generate.Popularity;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one routing decision. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {

    private static final int QUERIES = 4096;

    @Param({"3000", "90000"})
    public int adapters;

    @Param({"8", "600"})
    public int engines;

    private Router router;
    private RouteQuery[] queries;
    private int next;

    @Setup
    public void setUp() {
        router = Fixtures.router(adapters, engines);
        SplittableRandom random = new SplittableRandom(5);
        Popularity popularity = Popularity.create(adapters, 1.2, random);
        queries = new RouteQuery[QUERIES];
        for (int i = 0; i < QUERIES; i++) {
            String adapter = Deployment.adapterName(popularity.draw(random));
            queries[i] = RouteQuery.of(adapter, "route-chat", adapter.hashCode());
        }
    }

    /** Routes the next of the prepared queries. */
    @Benchmark
    public Object route() {
        next = (next + 1) % QUERIES;
        return router.route(queries[next]);
    }
}
