/** Simulation of entry instances on virtual time, with fakes of everything around them. */
package org.bronzehill.replay.harness;
