package org.bronzehill.config;

import java.util.Comparator;

/**
 * An error in a declaration or patch.
 *
 * @param line line number, starting at 1; 0 if the error has no line
 * @param field path of the field, such as {@code kinds.route-chat.deadline}; for an error that
 *     concerns no single field, {@code (file)}, {@code (syntax)} or an empty string
 */
public record Problem(String file, int line, String field, String reason) {

    /** Orders problems by line, then by field. */
    public static final Comparator<Problem> BY_LINE =
            Comparator.comparingInt(Problem::line).thenComparing(Problem::field);

    @Override
    public String toString() {
        return file + ':' + line + ": " + field + ": " + reason;
    }
}
