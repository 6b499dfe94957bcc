package org.bronzehill.core.onceonly;

import java.util.List;
import java.util.function.Function;
import org.bronzehill.core.model.RendezvousHash;

/** Determines the witnesses and coordinators of acts by rendezvous hash of the key. */
final class WitnessSets {

    /** Maximum number of witnesses of an act. With 5, a majority of 3 tolerates two failures. */
    static final int MAX_WITNESSES = 5;

    private WitnessSets() {}

    static List<String> witnesses(String key, List<String> listed) {
        return rank(key, listed).stream().limit(MAX_WITNESSES).toList();
    }

    static String coordinator(String key, List<String> live) {
        return live.isEmpty() ? "" : rank(key, live).get(0);
    }

    static int quorum(int witnesses) {
        return witnesses / 2 + 1;
    }

    private static List<String> rank(String key, List<String> instances) {
        return RendezvousHash.rank("act/" + key, instances, Function.identity());
    }
}
