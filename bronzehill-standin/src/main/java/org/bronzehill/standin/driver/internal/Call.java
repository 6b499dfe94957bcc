package org.bronzehill.standin.driver.internal;

/**
 * Request of a caller, for which one or more attempts are sent.
 *
 * @param index position in the workload; negative for a call that is sent in addition to it
 * @param atMs arrival time, relative to the start of the load
 * @param adapter empty for a plain service
 * @param team team of the caller
 * @param key idempotency key; empty unless the kind is once-only
 * @param entitled whether the caller may send this request
 */
public record Call(
        int index,
        long atMs,
        TrafficClass trafficClass,
        String adapter,
        String team,
        String token,
        String prompt,
        int tokens,
        boolean stream,
        String key,
        boolean entitled) {

    /** Returns whether the call is a model request, which an engine answers. */
    public boolean isModel() {
        return trafficClass.kind().isModelRequest();
    }

    /** Returns whether the call is a once-only act. */
    public boolean isAct() {
        return trafficClass.kind().onceOnly();
    }

    /**
     * Returns the key under which a runner records the act. Entry instances prefix the key with the
     * team, so that teams cannot use each other's keys.
     */
    public String recordedKey() {
        return team + ':' + key;
    }
}
