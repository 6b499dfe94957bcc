package org.bronzehill.core.model;

/**
 * One incarnation of an entry instance.
 *
 * @param id identifier from the instance's settings; survives a restart
 * @param incarnation start time in ms shifted left by 16 bits plus a random part; a higher value at
 *     the same id replaces the lower one
 * @param host IP address of the peer link
 * @param port TCP port of the peer link
 * @param dataCentre data centre from the instance's settings
 * @param region region from the instance's settings
 */
public record InstanceRef(
        String id, long incarnation, String host, int port, String dataCentre, String region) {

    /** Returns a copy with another incarnation. */
    public InstanceRef withIncarnation(long newIncarnation) {
        return new InstanceRef(id, newIncarnation, host, port, dataCentre, region);
    }
}
