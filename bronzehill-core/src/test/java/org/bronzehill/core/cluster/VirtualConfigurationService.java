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

/** Simulated configuration service with reads, watches, outages and stale answers. */
final class VirtualConfigurationService {

    private static final long ANSWER_NANOS = 2_000_000;

    private final VirtualCluster cluster;
    private final Map<VirtualNode, Long> watches = new HashMap<>();
    private ConfigurationImage image;
    private ConfigurationImage previousImage;
    final Set<String> staleForInstances = new HashSet<>();
    final Set<String> downForInstances = new HashSet<>();
    boolean down;
    long calls;

    VirtualConfigurationService(VirtualCluster cluster) {
        this.cluster = cluster;
    }

    void publish(Configuration configuration) {
        previousImage = image;
        image = ImageCodec.encode(configuration);
        Map<VirtualNode, Long> waiting = new HashMap<>(watches);
        watches.clear();
        waiting.forEach((node, have) -> answer(node, have));
    }

    long number() {
        return image == null ? 0 : image.number();
    }

    void read(VirtualNode node, long haveNumber, Duration maxWait) {
        calls++;
        if (down || downForInstances.contains(node.id()) || image == null) {
            cluster.schedule(
                    ANSWER_NANOS, () -> node.onConfigurationReadFailed("connection refused"));
            return;
        }
        ConfigurationImage current = currentFor(node);
        if (!maxWait.isZero() && current.number() == haveNumber) {
            watches.put(node, haveNumber);
            cluster.schedule(
                    maxWait.toNanos(),
                    () -> {
                        if (watches.remove(node, haveNumber)) {
                            answer(node, haveNumber);
                        }
                    });
            return;
        }
        answer(node, haveNumber);
    }

    private ConfigurationImage currentFor(VirtualNode node) {
        return staleForInstances.contains(node.id()) && previousImage != null
                ? previousImage
                : image;
    }

    private void answer(VirtualNode node, long haveNumber) {
        if (down || downForInstances.contains(node.id())) {
            return;
        }
        ConfigurationImage current = currentFor(node);
        ConfigurationImage sent =
                current.number() == haveNumber
                        ? new ConfigurationImage(new Manifest(haveNumber, "", List.of()), Map.of())
                        : current;
        cluster.schedule(ANSWER_NANOS, () -> node.onConfigurationRead(sent));
    }
}
