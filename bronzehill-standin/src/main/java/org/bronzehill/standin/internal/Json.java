package org.bronzehill.standin.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON parsing and serialization for the stand-ins and the driver. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Parses a document; returns a missing node if it is not valid JSON. */
    public static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    /** Serializes a value. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be serialized to JSON", e);
        }
    }

    /** Converts a value to a JSON tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
