package org.bronzehill.config;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes a directory that contains a configuration in its published form: {@code
 * manifest.json}, and one file per shard in {@code shards/}, named by its hash.
 */
public final class ImageDirectory {

    private static final String MANIFEST = "manifest.json";
    private static final String SHARDS = "shards";

    private ImageDirectory() {}

    /**
     * Writes an image. The manifest is written last, so that a reader never sees a manifest whose
     * shards are missing.
     */
    public static void write(ConfigurationImage image, Path directory) throws IOException {
        Path shards = Files.createDirectories(directory.resolve(SHARDS));
        for (Map.Entry<String, byte[]> e : image.shards().entrySet()) {
            Files.write(shards.resolve(e.getKey()), e.getValue());
        }
        Files.write(directory.resolve(MANIFEST), ImageCodec.encodeManifest(image.manifest()));
    }

    /** Reads the manifest in a directory and the shards that it lists. */
    public static ConfigurationImage read(Path directory) throws IOException {
        Either<String, Manifest> decoded =
                ImageCodec.decodeManifest(Files.readAllBytes(directory.resolve(MANIFEST)));
        Manifest manifest = decoded.getOrElseThrow(why -> new IOException(why));
        List<String> hashes = new ArrayList<>(manifest.shards());
        hashes.add(manifest.base());
        Map<String, byte[]> shards = new HashMap<>();
        for (String hash : hashes) {
            shards.put(hash, Files.readAllBytes(directory.resolve(SHARDS).resolve(hash)));
        }
        return new ConfigurationImage(manifest, shards);
    }
}
