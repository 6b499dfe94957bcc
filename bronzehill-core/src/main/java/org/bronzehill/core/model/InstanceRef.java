package org.bronzehill.core.model;

/**
 * One incarnation of an entry instance.
 *
 * @param id identifier from the instance's settings; survives a restart
 * @param incarnation start time in ms shifted left by 16 bits plus a random part; a higher value at
 *     the same id replaces the lower one
 * @param host IP address on which the instance accepts connections from other instances
 * @param port TCP port of these connections
 * @param dataCentre data centre from the instance's settings
 * @param region region from the instance's settings
 * @param linkMbps bandwidth of its network link in Mbit/s; 0 if it is not known
 */
public record InstanceRef(
        String id,
        long incarnation,
        String host,
        int port,
        String dataCentre,
        String region,
        int linkMbps) {

    /** Creates a reference to an instance whose bandwidth is not known. */
    public InstanceRef(
            String id, long incarnation, String host, int port, String dataCentre, String region) {
        this(id, incarnation, host, port, dataCentre, region, 0);
    }

    // Written out because the generated methods are linked at run time, which slows every start.

    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof InstanceRef i
                        && incarnation == i.incarnation
                        && port == i.port
                        && linkMbps == i.linkMbps
                        && id.equals(i.id)
                        && host.equals(i.host)
                        && dataCentre.equals(i.dataCentre)
                        && region.equals(i.region));
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(incarnation);
    }

    /** Returns a copy with another incarnation. */
    public InstanceRef withIncarnation(long newIncarnation) {
        return new InstanceRef(id, newIncarnation, host, port, dataCentre, region, linkMbps);
    }
}
