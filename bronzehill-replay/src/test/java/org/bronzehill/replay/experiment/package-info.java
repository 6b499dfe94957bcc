/** Tests. */
package org.bronzehill.replay.experiment;
