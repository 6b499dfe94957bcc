/** Checkers of the properties P1 to P8 over an event log. */
package org.bronzehill.replay.check;
