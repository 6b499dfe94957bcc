package org.bronzehill.entry.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Collects the shards of one configuration number; the first failure fails the whole read. */
final class ShardReads {

    private final Set<String> missing;
    private final Map<String, byte[]> content = new HashMap<>();
    private final Consumer<Map<String, byte[]>> onAll;
    private final Consumer<String> onFailed;
    private boolean ended;

    ShardReads(
            Set<String> missing, Consumer<Map<String, byte[]>> onAll, Consumer<String> onFailed) {
        this.missing = new HashSet<>(missing);
        this.onAll = onAll;
        this.onFailed = onFailed;
    }

    void answered(String hash, BodyCollector.Whole whole) {
        if (whole.status() != 200) {
            failed("shard " + hash + " was answered with status " + whole.status());
            return;
        }
        synchronized (this) {
            content.put(hash, whole.body());
            missing.remove(hash);
            if (ended || !missing.isEmpty()) {
                return;
            }
            ended = true;
        }
        onAll.accept(content);
    }

    void failed(String reason) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        onFailed.accept(reason);
    }
}
