/** Comparison of the policy with baselines and a bound on the same trace. */
package org.bronzehill.replay.experiment;
