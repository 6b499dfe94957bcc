/** Admission of requests: entitlement, fairness between members, overload and retries. */
package org.bronzehill.core.admission;
