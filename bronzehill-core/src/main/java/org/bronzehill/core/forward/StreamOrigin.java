package org.bronzehill.core.forward;

/**
 * Service and software version that began a stream. What two versions write does not fit together,
 * so only upstreams of the same version may continue the stream.
 *
 * @param softwareVersion version of the upstream that wrote the first event; empty if it states
 *     none
 */
record StreamOrigin(String service, String softwareVersion) {

    static StreamOrigin of(UpstreamState upstream) {
        UpstreamRecord r = upstream.upstreamRecord();
        return new StreamOrigin(
                r.service(), upstream.incarnation().isCertain() ? r.softwareVersion() : "");
    }

    /** Returns whether the version is known, so that other upstreams can have the same one. */
    boolean isVersionKnown() {
        return !softwareVersion.isEmpty();
    }

    /** Returns whether an upstream is certain to have the version that began the stream. */
    boolean fits(UpstreamRecord upstream) {
        return isVersionKnown()
                && upstream.service().equals(service)
                && upstream.softwareVersion().equals(softwareVersion);
    }

    @Override
    public String toString() {
        return service + "@" + softwareVersion;
    }
}
