/**
 * Direct forwarding: the instance that receives a request chooses an upstream and sends the request
 * directly to it. The decisions run on one thread and perform no I/O themselves. Requests and
 * orders are sent through {@link org.bronzehill.core.forward.CallTransport} and {@link
 * org.bronzehill.core.forward.OrderTransport}; messages to other instances are passed to the
 * program that hosts this code as {@link org.bronzehill.core.node.Effects}.
 */
package org.bronzehill.core.forward;
