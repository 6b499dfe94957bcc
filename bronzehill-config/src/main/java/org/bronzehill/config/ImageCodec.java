package org.bronzehill.config;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.vavr.control.Either;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Converts configurations to their published form and back. */
public final class ImageCodec {

    /** Largest value that the configuration service accepts, in bytes. */
    public static final int MAX_VALUE_BYTES = 1_000_000;

    private static final ObjectMapper MAPPER = createMapper();

    private ImageCodec() {}

    /** Returns the manifest and all shards of a configuration. */
    public static ConfigurationImage encode(Configuration configuration) {
        Map<String, byte[]> shards = new HashMap<>();
        String base = addContent(shards, configuration.base());
        List<String> hashes = new ArrayList<>();
        for (Map<String, AdapterSpec> shard : configuration.shards()) {
            hashes.add(addContent(shards, new ShardContent(shard)));
        }
        return new ConfigurationImage(new Manifest(configuration.number(), base, hashes), shards);
    }

    /** Returns the JSON form of a manifest. */
    public static byte[] encodeManifest(Manifest manifest) {
        return write(manifest);
    }

    /** Parses a manifest. */
    public static Either<String, Manifest> decodeManifest(byte[] json) {
        return read(json, Manifest.class, "manifest");
    }

    /** Returns the hash under which the content of a shard is published. */
    public static String hash(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    static Either<String, ConfigurationBase> decodeBase(byte[] json) {
        return read(json, ConfigurationBase.class, "base shard");
    }

    static Either<String, Map<String, AdapterSpec>> decodeShard(byte[] json) {
        return read(json, ShardContent.class, "adapter shard").map(s -> Map.copyOf(s.adapters()));
    }

    private static <T> Either<String, T> read(byte[] json, Class<T> type, String description) {
        try {
            return Either.right(MAPPER.readValue(json, type));
        } catch (IOException e) {
            return Either.left(description + " cannot be parsed: " + e.getMessage());
        }
    }

    private static String addContent(Map<String, byte[]> shards, Object value) {
        byte[] content = write(value);
        String hash = hash(content);
        shards.put(hash, content);
        return hash;
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration values are always serializable", e);
        }
    }

    private static ObjectMapper createMapper() {
        SimpleModule durations = new SimpleModule("durations");
        durations.addSerializer(Duration.class, new DurationJson.Serializer());
        durations.addDeserializer(Duration.class, new DurationJson.Deserializer());
        return JsonMapper.builder()
                .addModule(durations)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
                .build();
    }

    /**
     * Content of an adapter shard: adapters by name, sorted so that equal content has equal hashes.
     */
    record ShardContent(Map<String, AdapterSpec> adapters) {
        ShardContent {
            adapters = Collections.unmodifiableSortedMap(new TreeMap<>(adapters));
        }
    }
}
