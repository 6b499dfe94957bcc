/** The program of an entry instance. */
package org.bronzehill.entry;
