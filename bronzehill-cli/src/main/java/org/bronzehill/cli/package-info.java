/** Package cli. */
package org.bronzehill.cli;
