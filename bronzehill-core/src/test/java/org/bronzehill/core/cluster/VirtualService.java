package org.bronzehill.core.cluster;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.Manifest;

/** Configuration service of the virtual cluster: plain reads, watches, outages and old answers. */
final class VirtualService {

    private static final long ANSWER_NANOS = 2_000_000;

    private final VirtualCluster cluster;
    private final Map<VirtualNode, Long> watches = new HashMap<>();
    private ConfigurationImage image;
    private ConfigurationImage old;
    final Set<String> staleFor = new HashSet<>();
    final Set<String> downFor = new HashSet<>();
    boolean down;
    long calls;

    VirtualService(VirtualCluster cluster) {
        this.cluster = cluster;
    }

    void publish(Configuration configuration) {
        old = image;
        image = ImageCodec.encode(configuration);
        Map<VirtualNode, Long> waiting = new HashMap<>(watches);
        watches.clear();
        waiting.forEach((node, have) -> answer(node, have));
    }

    long number() {
        return image == null ? 0 : image.number();
    }

    void read(VirtualNode node, long have, Duration maxWait) {
        calls++;
        if (down || downFor.contains(node.id()) || image == null) {
            cluster.after(ANSWER_NANOS, () -> node.readFailed("connection refused"));
            return;
        }
        ConfigurationImage current = currentFor(node);
        if (!maxWait.isZero() && current.number() == have) {
            watches.put(node, have);
            cluster.after(
                    maxWait.toNanos(),
                    () -> {
                        if (watches.remove(node, have)) {
                            answer(node, have);
                        }
                    });
            return;
        }
        answer(node, have);
    }

    private ConfigurationImage currentFor(VirtualNode node) {
        return staleFor.contains(node.id()) && old != null ? old : image;
    }

    private void answer(VirtualNode node, long have) {
        if (down || downFor.contains(node.id())) {
            return;
        }
        ConfigurationImage current = currentFor(node);
        ConfigurationImage sent =
                current.number() == have
                        ? new ConfigurationImage(new Manifest(have, "", List.of()), Map.of())
                        : current;
        cluster.after(ANSWER_NANOS, () -> node.read(sent));
    }
}
