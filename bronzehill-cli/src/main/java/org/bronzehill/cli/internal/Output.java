package org.bronzehill.cli.internal;

import java.util.Collection;
import org.bronzehill.config.Problem;
import org.bronzehill.core.result.ResultCode;

/** Prints results to standard output, and errors with their codes to standard error. */
public final class Output {

    private Output() {}

    /** Prints a line of a result. */
    public static void line(String text) {
        System.out.println(text);
    }

    /** Prints an error with its code and the number of the code. */
    public static void error(ResultCode code, String detail) {
        System.err.println(code.number() + " " + code + ": " + detail);
    }

    /** Prints an error and the problems that caused it. */
    public static void problems(ResultCode code, Collection<Problem> problems) {
        error(code, code.summary() + " (" + problems.size() + ")");
        problems.forEach(p -> System.err.println("  " + p));
    }
}
