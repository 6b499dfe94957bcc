package org.bronzehill.standin.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Adapter slots of an engine. Not thread-safe; the engine synchronizes all access. */
final class AdapterTable {

    private final int slotCount;
    private final Map<String, Slot> slotsByHandle = new LinkedHashMap<>();

    private static final class Slot {
        boolean loading = true;
        int running;
        final List<Exchange> waiting = new ArrayList<>();
    }

    private AdapterTable(int slotCount) {
        this.slotCount = slotCount;
    }

    static AdapterTable of(int slotCount) {
        return new AdapterTable(slotCount);
    }

    /**
     * Result of a load order: the load starts, it joins a load in progress, the adapter is already
     * resident, or no slot is free.
     */
    enum LoadStart {
        STARTED,
        JOINED,
        RESIDENT,
        FULL
    }

    LoadStart beginLoad(String handle, Exchange order) {
        Slot slot = slotsByHandle.get(handle);
        if (slot != null && !slot.loading) {
            return LoadStart.RESIDENT;
        }
        if (slot != null) {
            slot.waiting.add(order);
            return LoadStart.JOINED;
        }
        if (slotsByHandle.size() >= slotCount) {
            return LoadStart.FULL;
        }
        Slot fresh = new Slot();
        fresh.waiting.add(order);
        slotsByHandle.put(handle, fresh);
        return LoadStart.STARTED;
    }

    /** Records the end of a load and returns the orders that wait for it. */
    List<Exchange> endLoad(String handle, boolean success) {
        Slot slot = slotsByHandle.get(handle);
        if (slot == null) {
            return List.of();
        }
        if (success) {
            slot.loading = false;
        } else {
            slotsByHandle.remove(handle);
        }
        List<Exchange> waiting = List.copyOf(slot.waiting);
        slot.waiting.clear();
        return waiting;
    }

    boolean isResident(String handle) {
        Slot slot = slotsByHandle.get(handle);
        return slot != null && !slot.loading;
    }

    /** Removes a handle and returns the load orders that wait for it, or null if it is unknown. */
    List<Exchange> remove(String handle) {
        Slot slot = slotsByHandle.remove(handle);
        return slot == null ? null : slot.waiting;
    }

    void addRunning(String handle, int change) {
        Slot slot = slotsByHandle.get(handle);
        if (slot != null) {
            slot.running += change;
        }
    }

    /** State of one handle in a report. */
    record HandleView(String handle, boolean loading, int running) {}

    List<HandleView> view() {
        return slotsByHandle.entrySet().stream()
                .map(e -> new HandleView(e.getKey(), e.getValue().loading, e.getValue().running))
                .toList();
    }
}
