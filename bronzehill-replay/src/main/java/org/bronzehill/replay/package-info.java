/** Deterministic replay of traces through the decision core. */
package org.bronzehill.replay;
