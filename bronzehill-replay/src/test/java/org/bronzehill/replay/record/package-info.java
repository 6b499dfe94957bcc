/** Tests. */
package org.bronzehill.replay.record;
