/** Recording of live inputs in the trace format. */
package org.bronzehill.replay.record;
