package org.bronzehill.replay.expect;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * One line of an expectation file.
 *
 * @param request identifier of the request; empty for an expectation of the whole trace
 * @param outcomes result codes, or run states that stand for all refusals with that state
 * @param versions versions of the adapter that may produce a successful answer; empty if any may
 * @param minSuccess for the whole trace: least share of entitled requests that succeed
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Expectation(
        String request, List<String> outcomes, List<Integer> versions, Double minSuccess) {

    public Expectation {
        request = request == null ? "" : request;
        outcomes = outcomes == null ? List.of() : List.copyOf(outcomes);
        versions = versions == null ? List.of() : List.copyOf(versions);
    }

    /** States the outcome of one request. */
    public static Expectation of(String request, List<String> outcomes, List<Integer> versions) {
        return new Expectation(request, outcomes, versions, null);
    }

    /** States the least share of entitled requests that succeed. */
    public static Expectation ofTrace(double minSuccess) {
        return new Expectation("", List.of(), List.of(), minSuccess);
    }
}
