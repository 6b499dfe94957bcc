/** Relay of answer chunks to the callers of this instance. */
package org.bronzehill.entry.relay;
