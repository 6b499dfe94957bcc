package org.bronzehill.config;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.time.Duration;

/** JSON representation of durations in shards: integer milliseconds. */
final class DurationJson {

    private DurationJson() {}

    /** Writes a duration as milliseconds. */
    static final class Serializer extends StdSerializer<Duration> {
        private static final long serialVersionUID = 1L;

        Serializer() {
            super(Duration.class);
        }

        @Override
        public void serialize(Duration value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeNumber(value.toMillis());
        }
    }

    /** Reads a duration given as milliseconds. */
    static final class Deserializer extends StdDeserializer<Duration> {
        private static final long serialVersionUID = 1L;

        Deserializer() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser in, DeserializationContext context)
                throws IOException {
            return Duration.ofMillis(in.getLongValue());
        }
    }
}
