/** Propagation of the configuration between the instances and from the configuration service. */
package org.bronzehill.core.spread;
