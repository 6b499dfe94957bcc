package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.List;

/**
 * Route for the requests of one host below a path prefix.
 *
 * @param prefix begins and ends with a slash
 * @param timeout longest time until the answer is complete
 * @param target target latency, for streams until the first event
 * @param priority 0 is the most urgent
 * @param services services that share the requests; at least one
 * @param maxAttempts largest number of upstreams that may run one request, and of attempts until
 *     its answer begins
 * @param eventTimeout time without an event after which callers abandon a stream
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration target,
        int priority,
        List<ServiceShare> services,
        int maxAttempts,
        Duration eventTimeout) {

    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no service");
        }
    }

    /** Returns the route with another time limit for its answers. */
    public Route withTimeout(Duration other) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                other,
                target,
                priority,
                services,
                maxAttempts,
                eventTimeout);
    }

    /** Returns whether requests of the route may be sent to a service. */
    boolean allows(String service) {
        return services.stream().anyMatch(s -> s.service().equals(service));
    }

    /**
     * Returns the service for a request. If the point is random, each service is returned with a
     * probability in proportion to its weight.
     *
     * @param point fraction of the total weight, from 0 (inclusive) to 1 (exclusive)
     */
    public String serviceAt(double point) {
        int total = services.stream().mapToInt(ServiceShare::weight).sum();
        double left = point * total;
        for (ServiceShare s : services) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return services.get(0).service();
    }
}
