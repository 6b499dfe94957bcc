/** Package entry. */
package org.bronzehill.entry;
