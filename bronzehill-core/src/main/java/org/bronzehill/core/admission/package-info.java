/** Admission control: entitlement, fair queuing between teams, load shedding and retry budget. */
package org.bronzehill.core.admission;
