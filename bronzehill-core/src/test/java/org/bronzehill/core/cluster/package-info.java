/** Tests of several instances on virtual time, connected by a simulated network. */
package org.bronzehill.core.cluster;
