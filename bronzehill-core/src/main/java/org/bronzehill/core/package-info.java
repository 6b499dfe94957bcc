/** Decision logic and state of an entry instance, without threads, clocks or I/O. */
package org.bronzehill.core;
