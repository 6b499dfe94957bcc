package org.bronzehill.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A value in a YAML file, with its line number for error messages. */
sealed interface YamlNode {

    /** Returns the line number, starting at 1. */
    int line();

    /** Returns a short description of the value for error messages. */
    String describe();

    /** Returns the value as Java maps, lists and scalars, without line numbers. */
    Object toPlainObject();

    /**
     * A scalar.
     *
     * @param text text as written in the file
     * @param value converted value; null for a YAML null
     */
    record Scalar(int line, String text, Object value) implements YamlNode {
        @Override
        public String describe() {
            return "the value '" + text + "'";
        }

        @Override
        public Object toPlainObject() {
            return value;
        }
    }

    record Sequence(int line, List<YamlNode> items) implements YamlNode {
        @Override
        public String describe() {
            return "a list";
        }

        @Override
        public Object toPlainObject() {
            return items.stream().map(YamlNode::toPlainObject).collect(Collectors.toList());
        }
    }

    /** A mapping whose entries are in file order. */
    record Mapping(int line, Map<String, YamlNode> entries) implements YamlNode {
        @Override
        public String describe() {
            return "a mapping";
        }

        @Override
        public Object toPlainObject() {
            Map<String, Object> plain = new LinkedHashMap<>();
            entries.forEach((k, v) -> plain.put(k, v.toPlainObject()));
            return plain;
        }
    }
}
