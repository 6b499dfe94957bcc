/** At-most-once execution of once-only acts without shared storage. */
package org.bronzehill.core.onceonly;
