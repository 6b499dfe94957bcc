/** Settings of the program, given in flags and environment variables. */
package org.bronzehill.entry.settings;
