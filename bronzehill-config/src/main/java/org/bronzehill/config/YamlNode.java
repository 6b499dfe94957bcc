package org.bronzehill.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A value of a YAML file together with the line on which it stands. */
sealed interface YamlNode {

    /** Line counted from 1. */
    int line();

    /** Returns a word for the type of the value, for error messages. */
    String describe();

    /** Returns the value as plain maps, lists and scalars. */
    Object toPlainObject();

    /** A scalar in its written form. */
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

    /** A list. */
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

    /** A mapping in file order. */
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
