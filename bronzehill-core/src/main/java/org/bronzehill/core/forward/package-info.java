/**
 * Direct forwarding: the instance that receives a request chooses an upstream and sends the request
 * directly to it. The decisions run on one thread and perform no I/O themselves; input and output
 * pass through {@link org.bronzehill.core.forward.CallTransport}, {@link
 * org.bronzehill.core.forward.OrderTransport} and effects.
 */
package org.bronzehill.core.forward;
