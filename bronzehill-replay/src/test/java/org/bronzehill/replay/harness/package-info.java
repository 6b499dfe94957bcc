/** Tests. */
package org.bronzehill.replay.harness;
