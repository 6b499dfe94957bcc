/** Tests of the lease manager's components. */
package org.bronzehill.core.lease;
