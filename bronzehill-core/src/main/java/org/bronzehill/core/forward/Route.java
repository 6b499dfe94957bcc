package org.bronzehill.core.forward;

import java.time.Duration;
import java.util.List;

/**
 * Requests of one host below a path prefix, and how they are served.
 *
 * @param prefix begins and ends with a slash
 * @param timeout longest time until the final answer
 * @param target time within which an answer is on time; for streams, the first event
 * @param priority rank among routes; 0 is the most urgent
 * @param services at least one
 * @param maxAttempts largest number of upstreams that may run one request
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

    /**
     * Returns the service for a request.
     *
     * @param point where the request falls among the weights, from 0 up to but excluding 1
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
