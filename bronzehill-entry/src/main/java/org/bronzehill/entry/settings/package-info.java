/** Settings of the program, read from flags and environment variables. */
package org.bronzehill.entry.settings;
