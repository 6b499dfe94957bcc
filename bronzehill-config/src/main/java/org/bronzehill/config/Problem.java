package org.bronzehill.config;

import java.util.Comparator;

/**
 * One error in a declaration or patch.
 *
 * @param line line counted from 1; 0 if the error concerns the whole file
 * @param field path of the field, such as {@code kinds.route-chat.deadline}
 */
public record Problem(String file, int line, String field, String reason) {

    /** Order in which problems are shown. */
    public static final Comparator<Problem> BY_LINE =
            Comparator.comparingInt(Problem::line).thenComparing(Problem::field);

    @Override
    public String toString() {
        return file + ':' + line + ": " + field + ": " + reason;
    }
}
