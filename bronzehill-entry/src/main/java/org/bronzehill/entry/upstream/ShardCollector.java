package org.bronzehill.entry.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Collects the shards of one configuration number; the first failure fails the whole read. */
final class ShardCollector {

    private final Set<String> missing;
    private final Map<String, byte[]> content = new HashMap<>();
    private final Consumer<Map<String, byte[]>> onComplete;
    private final Consumer<String> onFailed;
    private boolean ended;

    ShardCollector(
            Set<String> missing,
            Consumer<Map<String, byte[]>> onComplete,
            Consumer<String> onFailed) {
        this.missing = new HashSet<>(missing);
        this.onComplete = onComplete;
        this.onFailed = onFailed;
    }

    void onResponse(String hash, BodyCollector.Response response) {
        if (response.status() != 200) {
            onFailure("shard " + hash + " was answered with status " + response.status());
            return;
        }
        synchronized (this) {
            content.put(hash, response.body());
            missing.remove(hash);
            if (ended || !missing.isEmpty()) {
                return;
            }
            ended = true;
        }
        onComplete.accept(content);
    }

    void onFailure(String reason) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        onFailed.accept(reason);
    }
}
