package org.bronzehill.entry.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.bronzehill.core.model.Provenance;

/** Content of chunk 0 of every attempt: the provenance of the answer, as JSON. */
public final class ProvenanceChunk {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProvenanceChunk() {}

    /** Returns the content of chunk 0. */
    public static byte[] encode(Provenance provenance) {
        try {
            return MAPPER.writeValueAsBytes(provenance);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a provenance is always serializable", e);
        }
    }

    /** Parses the content of chunk 0; returns null if it is not a provenance. */
    static Provenance decode(byte[] data) {
        try {
            return MAPPER.readValue(data, Provenance.class);
        } catch (IOException e) {
            return null;
        }
    }
}
