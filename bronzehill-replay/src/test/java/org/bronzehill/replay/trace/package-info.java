/** Tests. */
package org.bronzehill.replay.trace;
