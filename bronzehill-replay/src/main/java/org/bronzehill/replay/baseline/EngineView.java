package org.bronzehill.replay.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.model.AdapterVersion;

/**
 * State of an engine as tracked by a baseline. It is exact, because no other instance uses the
 * engine.
 */
final class EngineView {

    /** Loaded or loading adapter and the requests that wait for it. */
    static final class Resident {
        private boolean loading = true;
        private int useCount;
        private final List<BaselineRequest> waiting = new ArrayList<>();

        boolean isLoading() {
            return loading;
        }

        List<BaselineRequest> markLoaded() {
            loading = false;
            List<BaselineRequest> all = List.copyOf(waiting);
            waiting.clear();
            return all;
        }

        List<BaselineRequest> waiting() {
            return waiting;
        }
    }

    private final String id;
    private final int slots;
    private final LinkedHashMap<AdapterVersion, Resident> residents =
            new LinkedHashMap<>(16, 0.75f, true);
    private final Map<AdapterVersion, Long> loadNumbers = new HashMap<>();
    private final List<BaselineRequest> waitingForSlot = new ArrayList<>();
    private long lastLoadNumber;
    private int openRequestCount;

    EngineView(String id, int slots) {
        this.id = id;
        this.slots = slots;
    }

    String id() {
        return id;
    }

    int openRequestCount() {
        return openRequestCount;
    }

    void addOpenRequest() {
        openRequestCount++;
    }

    void removeOpenRequest() {
        openRequestCount--;
    }

    List<BaselineRequest> waitingForSlot() {
        return waitingForSlot;
    }

    Resident resident(AdapterVersion adapter) {
        return residents.get(adapter);
    }

    boolean hasFreeSlot() {
        return residents.size() < slots;
    }

    /** Returns the least recently used adapter that is neither in use nor loading, or null. */
    AdapterVersion evictionCandidate() {
        for (Map.Entry<AdapterVersion, Resident> e : residents.entrySet()) {
            Resident r = e.getValue();
            if (!r.loading && r.useCount == 0) {
                return e.getKey();
            }
        }
        return null;
    }

    /** Starts loading an adapter under a new handle. */
    Resident add(AdapterVersion adapter) {
        Resident r = new Resident();
        residents.put(adapter, r);
        loadNumbers.put(adapter, ++lastLoadNumber);
        return r;
    }

    String handle(AdapterVersion adapter) {
        return adapter.handle(loadNumbers.get(adapter));
    }

    Resident remove(AdapterVersion adapter) {
        loadNumbers.remove(adapter);
        return residents.remove(adapter);
    }

    void changeUseCount(AdapterVersion adapter, int change) {
        Resident r = residents.get(adapter);
        if (r != null) {
            r.useCount += change;
        }
    }

    /**
     * Clears the state after a restart; returns the requests that waited for an adapter or slot.
     */
    List<BaselineRequest> resetAfterRestart() {
        List<BaselineRequest> waiting = new ArrayList<>(waitingForSlot);
        residents.values().forEach(r -> waiting.addAll(r.waiting));
        waitingForSlot.clear();
        residents.clear();
        loadNumbers.clear();
        return waiting;
    }
}
