/** Recording of the inputs of live instances as traces. */
package org.bronzehill.replay.record;
