/** Tests. */
package org.bronzehill.replay.check;
