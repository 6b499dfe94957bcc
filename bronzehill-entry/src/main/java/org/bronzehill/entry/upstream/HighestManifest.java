package org.bronzehill.entry.upstream;

import java.net.URI;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.bronzehill.config.Manifest;

/**
 * Waits for the manifests of all addresses and selects the one with the highest configuration
 * number.
 */
final class HighestManifest {

    private final BiConsumer<URI, Manifest> onHighest;
    private final Consumer<String> onNone;
    private int awaited;
    private URI source;
    private Manifest highest;

    HighestManifest(int awaited, BiConsumer<URI, Manifest> onHighest, Consumer<String> onNone) {
        this.awaited = awaited;
        this.onHighest = onHighest;
        this.onNone = onNone;
    }

    void found(URI base, Manifest manifest) {
        end(base, manifest, "");
    }

    void failed(String reason) {
        end(null, null, reason);
    }

    private void end(URI base, Manifest manifest, String reason) {
        synchronized (this) {
            if (manifest != null && (highest == null || manifest.number() > highest.number())) {
                highest = manifest;
                source = base;
            }
            if (--awaited > 0) {
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
