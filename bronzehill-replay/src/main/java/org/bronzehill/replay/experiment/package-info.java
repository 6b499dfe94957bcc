/** Comparison of the placement policy with baselines and bounds on the same trace. */
package org.bronzehill.replay.experiment;
