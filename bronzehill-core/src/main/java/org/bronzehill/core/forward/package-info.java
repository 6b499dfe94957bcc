/**
 * Direct forwarding: the instance that receives a request chooses an upstream and sends the request
 * straight to it. Pure decisions on one thread; input and output go through {@link
 * org.bronzehill.core.forward.CallTransport}, {@link org.bronzehill.core.forward.OrderTransport}
 * and effects.
 */
package org.bronzehill.core.forward;
