/** Scheduling of the work of one engine by the instance that holds its lease. */
package org.bronzehill.core.engine;
