/** Time source interface through which every component reads the clock. */
package org.bronzehill.core.time;
