package org.bronzehill.core.engine;

import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.node.IdSequence;
import org.bronzehill.core.time.TimeSource;

/** Dependencies shared by the schedulers of one entry instance. */
public record SchedulerContext(
        LeaseOperations leases,
        StorePermits permits,
        Supplier<Configuration> configuration,
        TimeSource time,
        IdSequence ids,
        CrashHistory crashes,
        PlacementView placement,
        EngineRequestListener listener) {}
