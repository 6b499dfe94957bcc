/** Decisions and state of an entry instance; free of threads, clocks and I/O. */
package org.bronzehill.core;
