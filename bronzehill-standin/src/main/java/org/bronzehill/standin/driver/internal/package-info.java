/** Workload, callers, processes and promise checks of the load driver. */
package org.bronzehill.standin.driver.internal;
