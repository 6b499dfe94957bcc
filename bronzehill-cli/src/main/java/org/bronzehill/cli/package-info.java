/** The {@code bronzehill} command-line program for operators. */
package org.bronzehill.cli;
