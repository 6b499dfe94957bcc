/** Membership of the entry instances and the failure detection that keeps it current. */
package org.bronzehill.core.membership;
