package org.bronzehill.config;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A numbered configuration, indexed for look-ups on the request path. Adapters stay in the shards
 * in which they were published, so that a change replaces only the affected shards.
 */
public final class Configuration {

    /** Empty configuration with number 0, in use until the first one has been read. */
    public static final Configuration EMPTY = of(0, ConfigurationBase.EMPTY, List.of(Map.of()));

    private final long number;
    private final ConfigurationBase base;
    private final List<Map<String, AdapterSpec>> shards;
    private final Map<String, Caller> callers;

    private Configuration(
            long number,
            ConfigurationBase base,
            List<Map<String, AdapterSpec>> shards,
            Map<String, Caller> callers) {
        this.number = number;
        this.base = base;
        this.shards = shards;
        this.callers = callers;
    }

    /** Creates a configuration from its base and its adapter shards, in shard order. */
    public static Configuration of(
            long number, ConfigurationBase base, List<Map<String, AdapterSpec>> shards) {
        Map<String, Caller> callers = new HashMap<>();
        for (TeamSpec team : base.members().values()) {
            team.callers().forEach((hash, name) -> callers.put(hash, new Caller(name, team)));
        }
        return new Configuration(number, base, List.copyOf(shards), Map.copyOf(callers));
    }

    /** Creates a configuration and distributes the adapters over shards. */
    public static Configuration of(
            long number, ConfigurationBase base, Collection<AdapterSpec> adapters) {
        return of(number, base, ShardLayout.split(adapters));
    }

    /** Returns the configuration number; 0 before the first read. */
    public long number() {
        return number;
    }

    public ConfigurationBase base() {
        return base;
    }

    public Limits limits() {
        return base.limits();
    }

    public Policy policy() {
        return base.policy();
    }

    /** Returns the adapter with this name. */
    public Option<AdapterSpec> adapter(String name) {
        return Option.of(shards.get(ShardLayout.shardOf(name, shards.size())).get(name));
    }

    /** Returns the kind of request with this name. */
    public Option<KindSpec> kind(String name) {
        return Option.of(base.kinds().get(name));
    }

    /** Returns the team with this name. */
    public Option<TeamSpec> team(String name) {
        return Option.of(base.members().get(name));
    }

    /** Returns the caller whose bearer token has this SHA-256 hash, in lower-case hex. */
    public Option<Caller> caller(String tokenHash) {
        return Option.of(callers.get(tokenHash));
    }

    /** Returns all adapters, in no particular order. */
    public Stream<AdapterSpec> adapters() {
        return shards.stream().flatMap(s -> s.values().stream());
    }

    List<Map<String, AdapterSpec>> shards() {
        return shards;
    }

    /** A caller and the team it belongs to. */
    public record Caller(String name, TeamSpec team) {}
}
