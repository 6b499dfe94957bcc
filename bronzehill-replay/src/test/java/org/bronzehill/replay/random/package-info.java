/** Tests. */
package org.bronzehill.replay.random;
