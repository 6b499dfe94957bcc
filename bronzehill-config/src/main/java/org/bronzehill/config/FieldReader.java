package org.bronzehill.config;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the fields of one mapping. Reading continues after a problem, so that all problems of a
 * file are reported at once; the method that reported it returns a placeholder. A method with a
 * {@code fallback} returns it if the field is absent; a null fallback makes the field required.
 */
final class FieldReader {

    private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s|m|h)");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

    private final String file;
    private final String path;
    private final YamlNode.Mapping mapping;
    private final List<Problem> problems;

    FieldReader(String file, String path, YamlNode.Mapping mapping, List<Problem> problems) {
        this.file = file;
        this.path = path;
        this.mapping = mapping;
        this.problems = problems;
    }

    void report(String field, String reason) {
        YamlNode node = mapping.entries().get(field);
        int line = node == null ? mapping.line() : node.line();
        problems.add(new Problem(file, line, fullPath(field), reason));
    }

    private String fullPath(String field) {
        return path.isEmpty() ? field : path + '.' + field;
    }

    /** Reports every field that is not in {@code fields}. */
    void allowOnly(String... fields) {
        List<String> known = Arrays.asList(fields);
        for (String name : mapping.entries().keySet()) {
            if (!known.contains(name)) {
                report(name, "unknown field; known fields: " + String.join(", ", known));
            }
        }
    }

    boolean has(String field) {
        return mapping.entries().containsKey(field);
    }

    private YamlNode.Scalar scalar(String field, boolean required) {
        YamlNode node = mapping.entries().get(field);
        if (node == null) {
            if (required) {
                report(field, "the field is missing");
            }
            return null;
        }
        if (node instanceof YamlNode.Scalar s && s.value() != null) {
            return s;
        }
        report(field, "a single value other than null is expected, not " + node.describe());
        return null;
    }

    String text(String field, String fallback) {
        YamlNode.Scalar s = scalar(field, fallback == null);
        return s == null ? fallback : s.text();
    }

    long integer(String field, Long fallback, long min, long max) {
        YamlNode.Scalar s = scalar(field, fallback == null);
        if (s == null) {
            return fallback == null ? min : fallback;
        }
        try {
            long value = Long.parseLong(s.text());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like values out of range.
        }
        report(field, "an integer from " + min + " to " + max + " is expected, not " + s.text());
        return min;
    }

    double number(String field, Double fallback, double min) {
        YamlNode.Scalar s = scalar(field, fallback == null);
        if (s == null) {
            return fallback == null ? min : fallback;
        }
        try {
            double value = Double.parseDouble(s.text());
            if (value >= min && Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like values out of range.
        }
        report(field, "a number of at least " + min + " is expected, not " + s.text());
        return min;
    }

    boolean bool(String field, boolean fallback) {
        YamlNode.Scalar s = scalar(field, false);
        if (s == null) {
            return fallback;
        }
        if (s.value() instanceof Boolean b) {
            return b;
        }
        report(field, "true or false is expected, not " + s.text());
        return fallback;
    }

    Duration duration(String field, Duration fallback) {
        YamlNode.Scalar s = scalar(field, fallback == null);
        if (s == null) {
            return fallback == null ? Duration.ofSeconds(1) : fallback;
        }
        Matcher m = DURATION.matcher(s.text());
        if (!m.matches() || m.group(1).length() > 9 || Long.parseLong(m.group(1)) == 0) {
            report(field, "a duration such as 250ms, 2s, 30m or 8h is expected, not " + s.text());
            return Duration.ofSeconds(1);
        }
        long amount = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "m" -> Duration.ofMinutes(amount);
            default -> Duration.ofHours(amount);
        };
    }

    <E extends Enum<E>> E enumValue(String field, Class<E> type, E fallback) {
        YamlNode.Scalar s = scalar(field, fallback == null);
        E placeholder = fallback == null ? type.getEnumConstants()[0] : fallback;
        if (s == null) {
            return placeholder;
        }
        String constantName = s.text().replace('-', '_').toUpperCase(Locale.ROOT);
        for (E e : type.getEnumConstants()) {
            if (e.name().equals(constantName)) {
                return e;
            }
        }
        String known =
                Arrays.stream(type.getEnumConstants())
                        .map(e -> e.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                        .reduce((a, b) -> a + ", " + b)
                        .orElse("");
        report(field, "one of " + known + " is expected, not " + s.text());
        return placeholder;
    }

    Set<String> nameSet(String field) {
        Set<String> names = new LinkedHashSet<>();
        YamlNode node = mapping.entries().get(field);
        if (node == null) {
            report(field, "the field is missing");
        } else if (node instanceof YamlNode.Sequence s) {
            for (YamlNode item : s.items()) {
                if (item instanceof YamlNode.Scalar scalar
                        && NAME.matcher(scalar.text()).matches()) {
                    names.add(scalar.text());
                } else {
                    problems.add(
                            new Problem(
                                    file,
                                    item.line(),
                                    fullPath(field),
                                    "each item must match [A-Za-z0-9][A-Za-z0-9._-]{0,99}"));
                }
            }
        } else {
            report(field, "a list is expected, not " + node.describe());
        }
        return names;
    }

    /** Reads a field that maps names to mappings; {@code reader} converts each of them. */
    <T> Map<String, T> section(String field, BiFunction<String, FieldReader, T> reader) {
        Map<String, T> values = new LinkedHashMap<>();
        for (Map.Entry<String, YamlNode> e : children(field).entrySet()) {
            String child = fullPath(field) + '.' + e.getKey();
            if (!NAME.matcher(e.getKey()).matches()) {
                problems.add(
                        new Problem(
                                file,
                                e.getValue().line(),
                                child,
                                "a name must match [A-Za-z0-9][A-Za-z0-9._-]{0,99}"));
            }
            if (e.getValue() instanceof YamlNode.Mapping m) {
                values.put(
                        e.getKey(),
                        reader.apply(e.getKey(), new FieldReader(file, child, m, problems)));
            } else {
                problems.add(
                        new Problem(
                                file,
                                e.getValue().line(),
                                child,
                                "a mapping is expected, not " + e.getValue().describe()));
            }
        }
        return values;
    }

    /** Reads a field that maps keys to scalars. */
    Map<String, String> textMap(String field) {
        Map<String, String> values = new LinkedHashMap<>();
        for (Map.Entry<String, YamlNode> e : children(field).entrySet()) {
            if (e.getValue() instanceof YamlNode.Scalar s && s.value() != null) {
                values.put(e.getKey(), s.text());
            } else {
                problems.add(
                        new Problem(
                                file,
                                e.getValue().line(),
                                fullPath(field) + '.' + e.getKey(),
                                "a single value other than null is expected, not "
                                        + e.getValue().describe()));
            }
        }
        return values;
    }

    private Map<String, YamlNode> children(String field) {
        YamlNode node = mapping.entries().get(field);
        if (node == null) {
            report(field, "the field is missing");
            return Map.of();
        }
        if (node instanceof YamlNode.Mapping m) {
            return m.entries();
        }
        report(field, "a mapping is expected, not " + node.describe());
        return Map.of();
    }

    /** Returns a reader for a nested mapping, or null if the field is absent or not a mapping. */
    FieldReader nested(String field) {
        YamlNode node = mapping.entries().get(field);
        if (node instanceof YamlNode.Mapping m) {
            return new FieldReader(file, fullPath(field), m, problems);
        }
        if (node != null) {
            report(field, "a mapping is expected, not " + node.describe());
        }
        return null;
    }
}
