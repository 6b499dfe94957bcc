/** Baseline policies that the experiment compares with. */
package org.bronzehill.replay.baseline;
