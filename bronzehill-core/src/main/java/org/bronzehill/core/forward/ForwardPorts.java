package org.bronzehill.core.forward;

import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;

/**
 * External dependencies of a {@link Forwarder}.
 *
 * @param out sends messages to other instances
 */
public record ForwardPorts(
        TimeSource time,
        Scheduler scheduler,
        Membership membership,
        Effects out,
        OrderTransport orders,
        ForwardListener listener) {}
