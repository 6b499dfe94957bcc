/** Tests of the parts of the lease manager. */
package org.bronzehill.core.lease;
