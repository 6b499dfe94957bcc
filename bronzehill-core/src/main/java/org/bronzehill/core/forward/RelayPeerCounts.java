package org.bronzehill.core.forward;

/**
 * Numbers of the other instances that run, by what they can do for an isolated one.
 *
 * @param serving those that serve relayed requests, as far as is known
 * @param isolated those that reach no upstream either
 * @param stopping those in their planned stop
 * @param excluded those that have lately refused a request, or could not be reached
 * @param suspected those that have not answered probes lately
 */
record RelayPeerCounts(int serving, int isolated, int stopping, int excluded, int suspected) {}
