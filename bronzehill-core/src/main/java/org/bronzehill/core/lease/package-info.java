/** Leases on engines and shared budgets, granted by a majority of the grantors of a resource. */
package org.bronzehill.core.lease;
