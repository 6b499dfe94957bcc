package org.bronzehill.core.forward;

/**
 * Exclusive right of one instance to send orders to one upstream.
 *
 * @param fencing fencing number of its orders
 */
record Claim(String instance, long fencing) {}
