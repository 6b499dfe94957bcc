package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One version of the routes, services and limits in force. */
public final class RoutingConfiguration {

    /** Configuration before the first one was read. */
    public static final RoutingConfiguration NONE =
            new RoutingConfiguration(0, List.of(), List.of(), CallerLimits.INITIAL);

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final CallerLimits limits;

    private RoutingConfiguration(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        services.forEach(s -> this.services.put(s.name(), s));
        for (Route r : routes) {
            routesByHost.computeIfAbsent(hostKey(r.host()), h -> new ArrayList<>()).add(r);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    public static RoutingConfiguration of(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            CallerLimits limits) {
        return new RoutingConfiguration(version, routes, services, limits);
    }

    /** Returns the version; 0 if no configuration is known. */
    public long version() {
        return version;
    }

    /** Returns the limits on the requests of callers. */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the route with the longest prefix that matches the path.
     *
     * @param path path without its query
     */
    public Option<Route> match(String host, String path) {
        for (Route r : routesByHost.getOrDefault(hostKey(host), List.of())) {
            if (path.startsWith(r.prefix())) {
                return Option.of(r);
            }
        }
        return Option.none();
    }

    public Option<ServiceSpec> service(String name) {
        return Option.of(services.get(name));
    }

    private static String hostKey(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
