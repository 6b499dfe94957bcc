package org.bronzehill.entry.upstream;

import java.net.URI;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.bronzehill.config.Manifest;

/**
 * Waits until the reads from all addresses of the configuration service have ended, and selects the
 * manifest with the highest configuration number. A manifest lists the shards of a configuration by
 * their hashes.
 */
final class HighestManifestSelector {

    private final BiConsumer<URI, Manifest> onHighest;
    private final Consumer<String> onNone;
    private int outstanding;
    private URI source;
    private Manifest highest;

    HighestManifestSelector(
            int outstanding, BiConsumer<URI, Manifest> onHighest, Consumer<String> onNone) {
        this.outstanding = outstanding;
        this.onHighest = onHighest;
        this.onNone = onNone;
    }

    void addManifest(URI serverUri, Manifest manifest) {
        recordResult(serverUri, manifest, "");
    }

    void addFailure(String reason) {
        recordResult(null, null, reason);
    }

    private void recordResult(URI serverUri, Manifest manifest, String reason) {
        synchronized (this) {
            if (manifest != null && (highest == null || manifest.number() > highest.number())) {
                highest = manifest;
                source = serverUri;
            }
            if (--outstanding > 0) {
                return;
            }
        }
        if (highest != null) {
            onHighest.accept(source, highest);
        } else {
            onNone.accept(reason);
        }
    }
}
