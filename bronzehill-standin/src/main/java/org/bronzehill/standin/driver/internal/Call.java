package org.bronzehill.standin.driver.internal;

/**
 * One request that a caller wants answered, whatever it takes.
 *
 * @param atMs time after the start of the load
 * @param adapter empty for a plain service
 * @param team team that the caller belongs to
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

    /** Returns whether an engine answers the call. */
    public boolean isModel() {
        return trafficClass.kind().isModelRequest();
    }

    /** Returns whether the call is a once-only act. */
    public boolean isAct() {
        return trafficClass.kind().onceOnly();
    }

    /**
     * Returns the key under which a runner records the act. Entry instances put the member in
     * front, so that two members cannot use each other's keys.
     */
    public String recordedKey() {
        return team + ':' + key;
    }
}
