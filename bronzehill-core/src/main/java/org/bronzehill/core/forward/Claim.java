package org.bronzehill.core.forward;

/**
 * Right of one instance to give orders to one upstream.
 *
 * @param fencing fencing number of its orders
 */
record Claim(String instance, long fencing) {}
