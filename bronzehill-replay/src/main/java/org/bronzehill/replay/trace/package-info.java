/** Trace format: records, reader and writer. */
package org.bronzehill.replay.trace;
