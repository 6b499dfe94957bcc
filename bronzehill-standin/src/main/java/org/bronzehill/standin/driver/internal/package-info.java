/** Workload, clients, process control and guarantee checks of the load driver. */
package org.bronzehill.standin.driver.internal;
