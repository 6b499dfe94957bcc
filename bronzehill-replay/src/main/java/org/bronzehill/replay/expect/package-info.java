/** Stated outcomes of a trace and their comparison with a run. */
package org.bronzehill.replay.expect;
