/** Baseline policies with which the experiment compares the placement policy. */
package org.bronzehill.replay.baseline;
