package org.bronzehill.cli.internal;

import java.util.Collection;
import org.bronzehill.config.Problem;
import org.bronzehill.core.result.ResultCode;

/** Prints results on standard output and errors, with their numbers, on standard error. */
public final class Output {

    private Output() {}

    /** Prints one line of a result. */
    public static void line(String text) {
        System.out.println(text);
    }

    /** Prints an error with the number of its code. */
    public static void error(ResultCode code, String detail) {
        System.err.println(code.number() + " " + code + ": " + detail);
    }

    /** Prints an error and all problems behind it. */
    public static void problems(ResultCode code, Collection<Problem> problems) {
        error(code, code.summary() + " (" + problems.size() + ")");
        problems.forEach(p -> System.err.println("  " + p));
    }
}
