/** Inputs, effects and the composition of the decision components of one entry instance. */
package org.bronzehill.core.node;
