/** Several instances of the cluster components on virtual time, joined by a simulated network. */
package org.bronzehill.core.cluster;
