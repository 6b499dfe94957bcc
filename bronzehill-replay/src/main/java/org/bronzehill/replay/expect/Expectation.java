package org.bronzehill.replay.expect;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Line of an expectation file: the expected outcome of a request, or of the trace as a whole.
 *
 * @param request identifier of the request; empty if the expectation is for the whole trace
 * @param outcomes accepted outcomes: result codes, run states or {@code NO_ANSWER}; empty if all
 *     outcomes are accepted. A run state accepts all unsuccessful results with that state except
 *     {@code INTERNAL}.
 * @param versions adapter versions accepted in a successful answer; empty if all are
 * @param minSuccess minimum share of answered entitled requests that succeed; only for the whole
 *     trace
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Expectation(
        String request, List<String> outcomes, List<Integer> versions, Double minSuccess) {

    public Expectation {
        request = request == null ? "" : request;
        outcomes = outcomes == null ? List.of() : List.copyOf(outcomes);
        versions = versions == null ? List.of() : List.copyOf(versions);
    }

    /** Creates the expectation for a request. */
    public static Expectation of(String request, List<String> outcomes, List<Integer> versions) {
        return new Expectation(request, outcomes, versions, null);
    }

    /** Creates the expectation for the whole trace. */
    public static Expectation ofTrace(double minSuccess) {
        return new Expectation("", List.of(), List.of(), minSuccess);
    }
}
