/** Tests. */
package org.bronzehill.replay.generate;
